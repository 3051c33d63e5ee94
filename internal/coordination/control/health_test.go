package control

import (
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/listing"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/stretchr/testify/require"
)

// publisherWithService returns a publisher with a snapshot of one service with three
// targets, and the input of that snapshot.
func publisherWithService(now time.Time) (*publisher, snapshotInput) {
	p := newPublisher(state.Host{ID: "a1", Domain: "a"})
	service := state.Service{ID: "feed", Number: 1, Targets: []state.Target{
		{ID: "t1", Number: 2, Domain: "a", Weight: 1},
		{ID: "t2", Number: 3, Domain: "a", Weight: 1},
		{ID: "t3", Number: 4, Domain: "b", Weight: 1},
	}}
	input := snapshotInput{release: &state.Release{Version: 1, Services: []state.Service{service}}, ready: true}
	p.nextSnapshot(now, input)
	return &p, input
}

func listingWithLoads(revision uint64, loads ...objects.TargetLoad) *listing.Machine {
	machine := listing.New(state.Host{ID: "a1"}, nil)
	machine.Receive(state.Host{ID: "a2"}, listing.LoadsUpdate{List: objects.LoadList{Loads: loads}, Revision: revision})
	return machine
}

func TestDrainSignalIsPublishedImmediately(t *testing.T) {
	now := time.Unix(1000, 0)
	p, input := publisherWithService(now)
	p.health.recordLoads(now, listingWithLoads(1, objects.TargetLoad{Target: "t1", Healthy: true, Draining: true, At: now}))
	snapshot := p.nextSnapshot(now, input)
	require.NotNil(t, snapshot)
	require.True(t, snapshot.Targets[2].Leaving)
	require.False(t, snapshot.Targets[3].Leaving)
	require.Equal(t, uint32(1), snapshot.Services[state.ServiceAddress{}].DomainWeights[0].Usable)
}

func TestDrainSignalSurvivesRelease(t *testing.T) {
	now := time.Unix(1000, 0)
	p, input := publisherWithService(now)
	p.health.recordLoads(now, listingWithLoads(1, objects.TargetLoad{Target: "t1", Healthy: true, Draining: true, At: now}))
	p.nextSnapshot(now, input)
	service := input.release.Services[0]
	service.Targets = service.Targets[:2]
	input.release = &state.Release{Version: 2, Services: []state.Service{service}}
	snapshot := p.nextSnapshot(now, input)
	require.True(t, snapshot.Targets[2].Leaving)
	require.True(t, snapshot.Targets[4].Withdrawn)
}

func TestTargetWithoutCompletedFlowsIsEjected(t *testing.T) {
	now := time.Unix(1000, 0)
	p, input := publisherWithService(now)
	var latest *state.Snapshot
	for range 10 {
		now = now.Add(time.Second)
		p.health.recordTraffic(now, TrafficReported{Targets: []TargetReport{
			{Number: 2, Openings: 50, Completed: 0, Retransmits: 50},
			{Number: 3, Openings: 50, Completed: 50},
			{Number: 4, Openings: 50, Completed: 50},
		}})
		if snapshot := p.nextSnapshot(now, input); snapshot != nil {
			latest = snapshot
		}
	}
	require.NotNil(t, latest)
	require.True(t, latest.Targets[2].Ejected || latest.Targets[2].ShareMilli < 500)
	require.False(t, latest.Targets[3].Ejected)
}

func TestUnchangedInputPublishesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	p, input := publisherWithService(now)
	require.Nil(t, p.nextSnapshot(now.Add(time.Hour/2), input))
}

func TestBatchesCoverEveryService(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPublisher(state.Host{ID: "a1", Domain: "a"})
	p.health.budget = 1
	release := &state.Release{Version: 1}
	for n := range 3 {
		number := state.TargetNumber(10 * (n + 1))
		release.Services = append(release.Services, state.Service{
			ID:     state.ServiceID(rune('a' + n)),
			Number: state.ServiceNumber(n + 1),
			Targets: []state.Target{
				{ID: state.TargetID(rune('a' + n)), Number: number, Domain: "a", Weight: 1},
				{ID: state.TargetID(rune('k' + n)), Number: number + 1, Domain: "a", Weight: 1},
			},
		})
	}
	input := snapshotInput{release: release, ready: true}
	p.nextSnapshot(now, input)
	for range 3 {
		now = now.Add(evaluationInterval)
		p.nextSnapshot(now, input)
	}
	require.Len(t, p.health.decisions, 6)
	require.Empty(t, p.health.pendingServices)
	now = now.Add(evaluationInterval)
	p.nextSnapshot(now, input)
	require.Len(t, p.health.pendingServices, 2)
}
