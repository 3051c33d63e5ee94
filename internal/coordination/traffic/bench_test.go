package traffic

import (
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/lookup"
)

// manyRecords is the number of flow records for which memory and decision time
// are bounded.
const manyRecords = 500_000

// maxRecordBytes is the bound on the memory of a record, including its part of
// the table.
const maxRecordBytes = 100

// benchSnapshot returns a snapshot of 7 hosts in 3 domains and 14 targets; self
// is the index of this host.
func benchSnapshot(mode state.ForwardingMode, self int) *state.Snapshot {
	service := state.Service{
		ID: "s", Number: 1, Protocol: state.TCP, Way: mode,
		Address: netip.MustParseAddrPort("198.51.100.1:443"),
	}
	for i := range 14 {
		service.Targets = append(service.Targets, state.Target{
			ID:      state.TargetID(string(rune('a' + i))),
			Number:  state.TargetNumber(i + 1),
			Domain:  state.DomainID(string(rune('x' + i%3))),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 5555),
			Weight:  1,
		})
	}
	entry := lookup.NextEntry(nil, service, 1)
	snap := &state.Snapshot{
		Services: map[state.ServiceAddress]*state.ServiceEntry{{Protocol: state.TCP, Address: service.Address}: entry},
		Targets:  make(map[state.TargetNumber]*state.TargetEntry),
		Ready:    true,
	}
	for _, target := range entry.TargetEntries {
		snap.Targets[target.Number] = target
	}
	for i := range 7 {
		h := state.Host{ID: state.HostID(string(rune('a' + i))), Domain: state.DomainID(string(rune('x' + i%3)))}
		snap.View.Members = append(snap.View.Members, state.Member{Host: h})
	}
	snap.Self = snap.View.Members[self].Host
	return snap
}

// benchPacket returns a packet of the n-th flow as relayed to the first owner.
func benchPacket(n int, kind PacketKind) Packet {
	caller := netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
	key := state.FlowKey{
		Protocol: state.TCP,
		Caller:   netip.AddrPortFrom(caller, 4000),
		Service:  netip.MustParseAddrPort("198.51.100.1:443"),
	}
	p := Packet{Key: key, Fingerprint: key.Fingerprint(), Kind: kind, Size: 400, PayloadSize: 340, Relayed: true}
	p.Relay = relay.Header{Kind: relay.KindPacket, Hops: 1, Service: 1, Fingerprint: p.Fingerprint}
	return p
}

// filledEngine returns an engine with manyRecords records, and mid-flow packets of
// flows of which its host is first owner.
func filledEngine(snap *state.Snapshot) (*Engine, []Packet, time.Time) {
	e := NewEngine(Settings{MaxRecords: manyRecords * 5 / 4}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1_700_000_000, 0)
	e.beginCall(now, snap)
	now = now.Add(DefaultOwnerOverlap)
	e.beginCall(now, snap)
	routes := e.routes(e.service(1))
	packets := make([]Packet, 0, manyRecords)
	for n := 0; e.Len() < manyRecords; n++ {
		p := benchPacket(n, KindData)
		if !routes.owners(p.Fingerprint).first.self {
			continue
		}
		e.addRecord(&flow{packet: &p, routes: routes, owners: routes.owners(p.Fingerprint)}, forwardVerdict(1))
		packets = append(packets, p)
	}
	return e, packets, now
}

func BenchmarkOwnerDecision(b *testing.B) {
	snap := benchSnapshot(state.ForwardByOwner, 0)
	e, packets, now := filledEngine(snap)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		d := e.Handle(now, snap, &packets[i])
		if d.Action != ActionForward {
			b.Fatal(d.Action, d.Reason)
		}
		if i++; i == len(packets) {
			i = 0
		}
	}
}

func BenchmarkRelayDecision(b *testing.B) {
	benchmarkStateless(b, state.ForwardByOwner, ActionRelay)
}

func BenchmarkHashDecision(b *testing.B) {
	benchmarkStateless(b, state.ForwardByHash, ActionForward)
}

// benchmarkStateless measures packets from the fabric that need no record on this
// host.
func benchmarkStateless(b *testing.B, mode state.ForwardingMode, want Action) {
	snap := benchSnapshot(mode, 0)
	e, _, now := filledEngine(snap)
	now = now.Add(DefaultIdleTimeout)
	routes := e.routes(e.service(1))
	var packets []Packet
	for n := 0; len(packets) < 1<<16; n++ {
		p := benchPacket(n, KindData)
		p.Relayed = false
		if !routes.owners(p.Fingerprint).first.self {
			packets = append(packets, p)
		}
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if d := e.Handle(now, snap, &packets[i]); d.Action != want {
			b.Fatal(d.Action, d.Reason)
		}
		i = (i + 1) % len(packets)
	}
}

func TestRecordMemory(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	records := newTable(manyRecords)
	for n := range manyRecords {
		p := benchPacket(n, KindData)
		records.insert(p.Fingerprint).service = 1
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perRecord := float64(after.HeapAlloc-before.HeapAlloc) / float64(records.count)
	t.Logf("%.1f bytes a record, %d of them the record", perRecord, unsafe.Sizeof(record{}))
	require.Equal(t, manyRecords, records.count)
	require.LessOrEqual(t, perRecord, float64(maxRecordBytes))
}
