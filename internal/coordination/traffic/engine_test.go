package traffic

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// startTime is the time at which test engines start.
var startTime = time.Unix(1_700_000_000, 0)

// settledEngine returns an engine of a host that started long enough ago to
// refuse flows and to fall back, and the current time.
func settledEngine(s Settings, snap *state.Snapshot) (*Engine, time.Time) {
	e := NewEngine(s, rand.New(rand.NewPCG(1, 1)))
	e.beginCall(startTime, snap)
	return e, startTime.Add(DefaultOwnerOverlap)
}

// ownedPacket returns a packet of the first flow, counted from the from-th, of
// which the engine's host is first owner.
func ownedPacket(e *Engine, from int, kind PacketKind) Packet {
	for n := from; ; n++ {
		p := benchPacket(n, kind)
		if e.routes(e.service(1)).owners(p.Fingerprint).first.self {
			return p
		}
	}
}

func TestReasonsHaveNames(t *testing.T) {
	names := make(map[string]bool)
	for _, r := range AllReasons() {
		require.NotEmpty(t, r.String())
		require.False(t, names[r.String()], r.String())
		names[r.String()] = true
	}
	require.Equal(t, "unknown", reasonCount.String())
}

func TestTableMatchesMapModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 40
		records := newTable(limit)
		model := make(map[state.Fingerprint]state.TargetNumber)
		for i := range rapid.IntRange(1, 300).Draw(t, "steps") {
			fp := state.Fingerprint{Low: rapid.Uint64Range(0, 70).Draw(t, "flow")}
			if rapid.Bool().Draw(t, "remove") {
				records.remove(fp)
				delete(model, fp)
			} else if records.find(fp) == nil {
				r := records.insert(fp)
				require.Equal(t, len(model) < limit, r != nil)
				if r != nil {
					r.service = 1
					r.target = state.TargetNumber(i + 1)
					model[fp] = r.target
				}
			}
		}
		require.Equal(t, len(model), records.count)
		walked := 0
		for i := range records.slotCount() {
			if r := records.recordAt(i); r != nil {
				require.Equal(t, model[r.fingerprint], r.target)
				require.Same(t, r, records.find(r.fingerprint))
				walked++
			}
		}
		require.Equal(t, len(model), walked)
	})
}

// drawSnapshot draws a view of 1 to 9 hosts.
func drawSnapshot(t *rapid.T) *state.Snapshot {
	snap := benchSnapshot(state.ForwardByOwner, 0)
	snap.View.Members = nil
	for i := range rapid.IntRange(1, 9).Draw(t, "hosts") {
		h := state.Host{ID: state.HostID(fmt.Sprint("h", i))}
		h.Domain = state.DomainID(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "domain"))
		snap.View.Members = append(snap.View.Members, state.Member{Host: h})
	}
	return snap
}

// ownersIn returns a flow's owner pair under a snapshot.
func ownersIn(snap *state.Snapshot, fp state.Fingerprint) owners {
	return newServiceRoutes(onlyEntry(snap), newViewIndex(startTime, snap, nil)).owners(fp)
}

// onlyEntry returns the entry of the only service.
func onlyEntry(snap *state.Snapshot) *state.ServiceEntry {
	for _, entry := range snap.Services {
		return entry
	}
	return nil
}

// After any host has died, the remaining owner of a flow has to be its first
// owner; otherwise the record would be lost with one host.
func TestOneOwnerSurvivesDeathOfOneHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snap := drawSnapshot(t)
		fp := state.Fingerprint{High: rapid.Uint64().Draw(t, "high"), Low: rapid.Uint64().Draw(t, "low")}
		before := ownersIn(snap, fp)
		dead := rapid.IntRange(0, len(snap.View.Members)-1).Draw(t, "dead")
		gone := snap.View.Members[dead].ID
		snap.View.Members = append(snap.View.Members[:dead:dead], snap.View.Members[dead+1:]...)
		after := ownersIn(snap, fp)
		if len(snap.View.Members) == 0 {
			require.Nil(t, after.first)
			return
		}
		if before.first.id == gone {
			require.Equal(t, before.second.id, after.first.id)
		} else {
			require.Equal(t, before.first.id, after.first.id)
		}
	})
}

func TestSearchVisitsEveryHostOfSmallViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snap := drawSnapshot(t)
		view := newViewIndex(startTime, snap, nil)
		order := newSearchOrder(view, state.Fingerprint{High: rapid.Uint64().Draw(t, "high"), Low: rapid.Uint64().Draw(t, "low")})
		seen := make(map[state.HostID]bool)
		for cell := range order.size() {
			if h := order.host(cell); h != nil {
				require.False(t, seen[h.id])
				seen[h.id] = true
			}
		}
		for _, domain := range view.domains {
			visited := 0
			for _, h := range domain.hosts {
				if seen[h.id] {
					visited++
				}
			}
			require.Equal(t, min(len(domain.hosts), searchHostsPerDomain), visited)
		}
	})
}

// A refused flow has to stay refused until its retry-after time has passed, and
// a forwarded one must not be refused when no target is left for new flows.
func TestRefusalIsRepeatedUntilRetryAfter(t *testing.T) {
	snap := benchSnapshot(state.ForwardByOwner, 0)
	e, now := settledEngine(Settings{}, snap)
	forwarded := ownedPacket(e, 0, KindSYN)
	refused := ownedPacket(e, 5000, KindSYN)
	require.Equal(t, ActionRelay, e.Handle(now, snap, &forwarded).Action)
	for _, target := range snap.Targets {
		target.Ejected = true
	}
	d := e.Handle(now, snap, &refused)
	require.Equal(t, relay.VerdictRefuse, d.Header.Verdict)
	require.Equal(t, relay.VerdictForward, e.Handle(now, snap, &forwarded).Header.Verdict)
	for _, target := range snap.Targets {
		target.Ejected = false
	}
	d = e.Handle(now.Add(time.Second), snap, &refused)
	require.Equal(t, ActionRefuse, d.Action)
	require.Equal(t, DefaultRetryAfter-time.Second, d.RetryAfter)
	refused.Kind = KindData
	require.Equal(t, ReasonRefusedFlow, e.Handle(now, snap, &refused).Reason)
	now = now.Add(DefaultRetryAfter + time.Second)
	e.Sweep(now, snap, 100)
	refused.Kind = KindSYN
	require.Equal(t, relay.VerdictForward, e.Handle(now, snap, &refused).Header.Verdict)
}

// A host that has just started does not know whether a packet of the flow was
// forwarded before, so it must not refuse the flow.
func TestNewHostDoesNotRefuse(t *testing.T) {
	snap := benchSnapshot(state.ForwardByOwner, 0)
	e := NewEngine(Settings{}, rand.New(rand.NewPCG(1, 1)))
	e.beginCall(startTime, snap)
	p := ownedPacket(e, 0, KindSYN)
	for _, target := range snap.Targets {
		target.Ejected = true
	}
	require.Equal(t, ReasonUnsettled, e.Handle(startTime.Add(DefaultSettleTime-1), snap, &p).Reason)
	require.Equal(t, relay.VerdictRefuse, e.Handle(startTime.Add(DefaultSettleTime), snap, &p).Header.Verdict)
}

// If two hosts place the same flow, its packets must not reach two targets: the
// second owner keeps its first verdict and sends it to the other host.
func TestSecondOwnersVerdictWins(t *testing.T) {
	snap := benchSnapshot(state.ForwardByOwner, 0)
	e, now := settledEngine(Settings{}, snap)
	p := benchPacket(1, KindSYN)
	p.Relay.Kind = relay.KindOpening
	p.Relay.Verdict = relay.VerdictForward
	p.Relay.Target = 3
	p.Relay.Reason = uint8(headerNew | headerTentative)
	require.Equal(t, state.TargetNumber(3), e.Handle(now, snap, &p).Target.Number)
	p.Relay.Target = 4
	d := e.Handle(now, snap, &p)
	require.Equal(t, state.TargetNumber(3), d.Target.Number)
	require.Equal(t, 1, d.MessageCount)
	require.Equal(t, relay.KindConfirm, d.Messages[0].Header.Kind)
	p.Relay.Verdict = relay.VerdictRefuse
	p.Relay.Reason = uint8(ReasonTableFull)
	require.Equal(t, ActionForward, e.Handle(now, snap, &p).Action)
}

// New flows are refused once the table is full, but open flows still need their
// records.
func TestFullTableKeepsOpenFlows(t *testing.T) {
	const limit = 100
	snap := benchSnapshot(state.ForwardByOwner, 0)
	e, now := settledEngine(Settings{MaxRecords: limit}, snap)
	var first Packet
	refused := 0
	for n := range 2 * limit {
		p := ownedPacket(e, n*1000, KindSYN)
		if n == 0 {
			first = p
		}
		if e.Handle(now, snap, &p).Header.Verdict == relay.VerdictRefuse {
			refused++
		}
	}
	require.Equal(t, 2*limit-limit*openingShareMilli/1000, refused)
	require.LessOrEqual(t, e.Len(), limit)
	first.Kind = KindData
	require.Equal(t, relay.VerdictForward, e.Handle(now, snap, &first).Header.Verdict)
}

func TestInvalidHeadersAreDropped(t *testing.T) {
	snap := benchSnapshot(state.ForwardByOwner, 0)
	e, now := settledEngine(Settings{}, snap)
	for reason, corrupt := range map[Reason]func(*Packet){
		ReasonTooManyHops: func(p *Packet) { p.Relay.Hops = relay.MaxHops + 1 },
		ReasonNoService:   func(p *Packet) { p.Key.Protocol = state.UDP },
		ReasonForeignHeader: func(p *Packet) {
			p.Relay.Fingerprint.Low++
		},
	} {
		p := benchPacket(1, KindData)
		corrupt(&p)
		require.Equal(t, reason, e.Handle(now, snap, &p).Reason)
	}
}

// A flow's packets must not reach another service's target that was given the
// address of the withdrawn target.
func TestReusedAddressGetsNoPackets(t *testing.T) {
	snap := benchSnapshot(state.ForwardByOwner, 0)
	e, now := settledEngine(Settings{}, snap)
	p := ownedPacket(e, 0, KindSYN)
	number := e.Handle(now, snap, &p).Header.Target
	reused := *snap
	reused.Targets = make(map[state.TargetNumber]*state.TargetEntry)
	for n, target := range snap.Targets {
		reused.Targets[n] = target
	}
	old := *snap.Targets[number]
	old.Withdrawn = true
	reused.Targets[number] = &old
	other := old
	other.Withdrawn = false
	other.Number = 99
	other.Service = 2
	reused.Targets[99] = &other
	p.Kind = KindData
	e.Handle(now, &reused, &p)
	require.Equal(t, ReasonAddressReused, e.Handle(now, &reused, &p).Reason)
}

// One customer must not use up the flow table for all others.
func TestCrowdedTableKeepsRoomForSmallCustomers(t *testing.T) {
	const limit = 100
	snap := benchSnapshot(state.ForwardByOwner, 0)
	entry := onlyEntry(snap)
	entry.Customer = "large"
	e, now := settledEngine(Settings{MaxRecords: limit}, snap)
	e.customers.openFlows[2] = 1
	e.entriesByNumber[2] = &state.ServiceEntry{Service: state.Service{Number: 2, Customer: "small"}}
	reasons := make(map[Reason]int)
	for n := range limit {
		p := ownedPacket(e, n*1000, KindSYN)
		h := e.Handle(now, snap, &p).Header
		if h.Verdict == relay.VerdictRefuse {
			reasons[Reason(h.Reason)]++
		}
	}
	require.Equal(t, map[Reason]int{ReasonCustomerFlows: limit - limit*crowdedShareMilli/1000}, reasons)
	require.Equal(t, ReasonNone, e.admit("small"))
}

func TestNewFlowRateRefuses(t *testing.T) {
	snap := benchSnapshot(state.ForwardByOwner, 0)
	e, now := settledEngine(Settings{NewFlowRate: 100}, snap)
	refused := 0
	for n := range 30 {
		p := ownedPacket(e, n*1000, KindSYN)
		if h := e.Handle(now, snap, &p).Header; h.Verdict == relay.VerdictRefuse {
			require.Equal(t, ReasonCustomerRate, Reason(h.Reason))
			refused++
		}
	}
	require.Equal(t, 20, refused)
}

// silentCase is a flow that repeats a packet while other flows open at its
// target or not.
type silentCase struct {
	name       string
	payload    int
	othersOpen bool
	progresses bool
	wantResets int
}

func TestSilentFlowIsResetOnce(t *testing.T) {
	for _, c := range []silentCase{
		{"retransmits while others open", 100, true, false, 1},
		{"dead target", 100, false, false, 0},
		{"keepalives or zero-window probes", probePayload, true, false, 0},
		{"makes progress", 100, true, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			snap := benchSnapshot(state.ForwardByOwner, 0)
			e, now := settledEngine(Settings{}, snap)
			p := ownedPacket(e, 0, KindSYN)
			target := snap.Targets[e.Handle(now, snap, &p).Header.Target]
			p.Kind = KindData
			p.PayloadSize = c.payload
			resets := 0
			for i := range 20 {
				now = now.Add(time.Second)
				if c.othersOpen {
					target.Counters.Completed.Add(1)
				}
				if c.progresses {
					p.Progress = uint64(i)
				}
				if e.Handle(now, snap, &p).Action == ActionReset {
					resets++
				}
			}
			require.Equal(t, c.wantResets, resets)
		})
	}
}

// Packets that belong to no flow must neither start searches without limit nor
// fill the table with fallback records.
func TestPacketsWithoutRecordAreLimited(t *testing.T) {
	const limit = 100
	snap := benchSnapshot(state.ForwardByOwner, 0)
	e, now := settledEngine(Settings{MaxRecords: limit, SearchRate: 500}, snap)
	searched := 0
	for n := range limit {
		p := ownedPacket(e, n*1000, KindData)
		if e.Handle(now, snap, &p).Reason == ReasonSearch {
			searched++
		}
	}
	require.Equal(t, 50, searched)
	for n := range limit {
		p := ownedPacket(e, n*1000, KindData)
		p.Relay.Hops = relay.MaxHops
		require.Equal(t, ReasonFallback, e.Handle(now, snap, &p).Reason)
	}
	require.Equal(t, limit*crowdedShareMilli/1000, e.Len())
}

// If this host does not know a record's target yet, the fallback would send the
// flow's packets to a wrong target.
func TestUnknownTargetDoesNotFallBack(t *testing.T) {
	snap := benchSnapshot(state.ForwardByOwner, 0)
	e, now := settledEngine(Settings{}, snap)
	p := ownedPacket(e, 0, KindData)
	h := relay.Header{Kind: relay.KindRecord, Service: 1, Target: 77, Verdict: relay.VerdictForward, Fingerprint: p.Fingerprint}
	e.HandleRecord(now, snap, h)
	require.Equal(t, ReasonSearch, e.Handle(now, snap, &p).Reason)
	p.Relay.Hops = relay.MaxHops
	require.Equal(t, ReasonUnknownTarget, e.Handle(now, snap, &p).Reason)
	require.Equal(t, 1, e.Len())
}

// A mid-flow packet at an address that another service had before may belong to
// that service's flow; only openings may reach the new service.
func TestFlowsOfPreviousServiceAtAddressDoNotFallBack(t *testing.T) {
	former := benchSnapshot(state.ForwardByOwner, 0)
	e, now := settledEngine(Settings{}, former)
	next := benchSnapshot(state.ForwardByOwner, 0)
	for _, entry := range next.Services {
		entry.Number = 2
	}
	for _, target := range next.Targets {
		target.Service = 2
	}
	now = now.Add(time.Minute)
	e.Handle(now, next, &Packet{})
	now = now.Add(time.Minute)
	p := benchPacket(0, KindData)
	p.Relay.Service = 2
	p.Relay.Hops = relay.MaxHops
	require.Equal(t, ReasonAddressReused, e.Handle(now, next, &p).Reason)
	p = benchPacket(0, KindSYN)
	p.Relay.Service = 2
	require.NotEqual(t, ActionDrop, e.Handle(now, next, &p).Action)
}
