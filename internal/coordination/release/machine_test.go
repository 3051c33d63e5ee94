package release

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/stretchr/testify/require"
)

var begin = time.Unix(1_800_000_000, 0)

func self() state.Host { return state.Host{ID: "host-a1", Domain: "zone-a"} }

func firstNote() objects.Note {
	return objects.Note{ID: "first", Content: state.Note{
		ID: "first", AddDomains: []state.DomainID{"zone-a"},
		SetCustomers: []state.Customer{{ID: "studio", Weight: 1}},
		AddServices: []state.ServiceSpec{{
			ID: "feed", Customer: "studio", Protocol: state.TCP, Address: netip.MustParseAddrPort("198.51.100.1:443"),
		}},
		AddTargets: []state.TargetSpec{{
			ID: "feed-1", Service: "feed", Domain: "zone-a", Address: netip.MustParseAddrPort("192.0.2.1:6080"),
			Weight: 1, Slots: 1, Connections: 1,
		}},
	}}
}

// pendingDigest returns a digest of a head on which the first note is pending.
func pendingDigest() Digest {
	ref := objects.NoteRef{ID: "first", Version: 1}
	pending := &objects.Pending{Note: ref, Deadline: begin.Add(time.Minute)}
	return Digest{Head: HeadDigest{ObjectVersion: 1, Pending: pending}, HoldsPending: true, PlatformAge: 0}
}

func puts(calls []objects.Call, key string) int {
	count := 0
	for _, call := range calls {
		if call.Verb == objects.VerbPut && call.Key == key {
			count++
		}
	}
	return count
}

// A host that has just started does not know its peers yet. If it reported for
// its domain, the note could be accepted without the staging of the other
// hosts.
func TestDomainStatusIsNotWrittenBeforeReporterStartDelay(t *testing.T) {
	m := New(Settings{Self: self()}, rand.New(rand.NewPCG(1, 1)))
	peer := state.Host{ID: "host-b1", Domain: "zone-b"}
	note := firstNote()
	m.Tick(begin)
	m.Receive(begin, peer, pendingDigest())
	m.Receive(begin, peer, FetchReply{Note: &note})
	m.Tick(begin.Add(ReporterStartDelay / 2))
	require.Zero(t, puts(m.DrainOutput().Calls, "release/staged/first/zone-a"))
	m.Tick(begin.Add(ReporterStartDelay))
	require.Equal(t, 1, puts(m.DrainOutput().Calls, "release/staged/first/zone-a"))
}

// Messages may arrive late or twice. An old digest or release must not bring
// back a decided note or an older release.
func TestOldDigestIsIgnored(t *testing.T) {
	m := New(Settings{Self: self()}, rand.New(rand.NewPCG(1, 1)))
	peer := state.Host{ID: "host-b1", Domain: "zone-b"}
	note := firstNote()
	m.Receive(begin, peer, pendingDigest())
	m.Receive(begin, peer, FetchReply{Note: &note})
	m.Tick(begin)
	m.Receive(begin, peer, Digest{Head: HeadDigest{ObjectVersion: 2, Version: 1, Accepted: "first"}})
	require.Equal(t, state.ReleaseVersion(1), m.Version())
	m.Receive(begin, peer, pendingDigest())
	m.Receive(begin, peer, FetchReply{Release: &state.Release{Version: 0}})
	require.Equal(t, state.ReleaseVersion(1), m.Version())
	require.Nil(t, m.KnownHead().Pending)
}
