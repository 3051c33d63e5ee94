package control

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/stretchr/testify/require"
)

// noteDeadline is the time in which a note of the tests must be staged.
const noteDeadline = 10 * time.Second

// firstReleaseNote returns the note that makes release 1: a service with one target
// in each domain.
func firstReleaseNote(domains int) state.Note {
	note := state.Note{
		ID: "first", Deadline: noteDeadline,
		SetCustomers: []state.Customer{{ID: "studio", Weight: 1}},
		AddServices: []state.ServiceSpec{{
			ID: "feed", Customer: "studio", Protocol: state.TCP,
			Address: netip.MustParseAddrPort("198.51.100.1:443"), IdleTimeout: time.Minute,
		}},
	}
	for index := range domains {
		domain := testHost(index, 0).Domain
		note.AddDomains = append(note.AddDomains, domain)
		note.AddTargets = append(note.AddTargets, targetSpec(fmt.Sprintf("feed-%d", index+1), domain, index))
	}
	return note
}

func targetSpec(id string, domain state.DomainID, number int) state.TargetSpec {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(number + 1)}), 6080)
	return state.TargetSpec{
		ID: state.TargetID(id), Service: "feed", Domain: domain, Address: address,
		Weight: 1, Slots: 3, Connections: 2000,
	}
}

// addTargetNote returns a note that adds a target to release base.
func addTargetNote(id string, base state.ReleaseVersion) state.Note {
	spec := targetSpec("added-by-"+id, testHost(0, 0).Domain, 50+int(base))
	return state.Note{
		ID: state.NoteID(id), Base: base, Deadline: noteDeadline, AddTargets: []state.TargetSpec{spec},
	}
}

// newRunningSimulation returns a simulation with release 1 in force on every host.
func newRunningSimulation(t *testing.T, seed uint64, variant release.Variant, sizes ...int) *simulation {
	w := newSimulation(seed, variant, sizes...)
	w.runFor(5 * time.Second)
	w.platform.submit(firstReleaseNote(len(sizes)))
	require.True(t, w.runUntil(20*time.Second, func() bool { return w.inForceEverywhere(1) }), "seed %d", seed)
	w.runFor(2 * time.Second)
	require.Empty(t, w.invariants.violations, "seed %d", seed)
	return w
}

func TestReleaseComesIntoForceEverywhere(t *testing.T) {
	for name, sizes := range map[string][]int{
		"one host": {1}, "three domains": {3, 2, 2}, "four domains": {2, 2, 2, 1}, "one large domain": {30},
	} {
		t.Run(name, func(t *testing.T) {
			w := newRunningSimulation(t, 1, release.VariantCorrect, sizes...)
			w.platform.submit(addTargetNote("second", 1))
			require.True(t, w.runUntil(5*time.Second, func() bool { return w.inForceEverywhere(2) }))
			w.runFor(5 * time.Second)
			require.Empty(t, w.invariants.violations)
			require.Equal(t, objects.NoteAccepted, w.invariants.decided["second"])
			for _, n := range w.nodes {
				var status objects.InForce
				mustDecode(w.platform.objects[objects.PrefixInForce+string(n.host.Domain)].Value, &status)
				require.Equal(t, state.ReleaseVersion(2), status.Version, n.host.Domain)
				require.Empty(t, status.Behind, n.host.Domain)
			}
		})
	}
}

func targetChange(id state.TargetID, leaving *bool) state.TargetChange {
	return state.TargetChange{ID: id, Leaving: leaving}
}
