package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answers records answers of a target, one every 100 ms from start on, and returns the time
// of the last.
func answers(target *Target, start time.Duration, count int, queue float64) time.Duration {
	now := start
	for range count {
		now += 100 * time.Millisecond
		target.RecordAnswer(now, queue)
	}
	return now
}

func TestTargetWithoutSamplesIsTakenForOneOfItsDomain(t *testing.T) {
	var domain Domain
	known, unseen := NewTarget(&domain), NewTarget(&domain)
	require.Zero(t, unseen.Queue(0))
	now := answers(&known, 0, 50, 2)
	require.InDelta(t, 2, unseen.Queue(now), 0.1)
}

func TestSlowTargetStandsOutOfItsDomain(t *testing.T) {
	var domain Domain
	slow := NewTarget(&domain)
	now := time.Duration(0)
	for range 20 {
		others := NewTarget(&domain)
		now = answers(&others, now, 2, 0)
	}
	slow.RecordAnswer(now, 3)
	require.InDelta(t, 3, slow.Queue(now), 0.1)
	quick := NewTarget(&domain)
	require.Zero(t, quick.Queue(now))
}

func TestEstimateFadesToThatOfTheDomain(t *testing.T) {
	var domain Domain
	slow, others := NewTarget(&domain), NewTarget(&domain)
	slow.RecordAnswer(0, 3)
	before := slow.Queue(0)
	for now := time.Second; now < targetMemory; now += time.Second {
		answers(&others, now-time.Second, 10, 0)
		queue := slow.Queue(now)
		require.LessOrEqual(t, queue, before)
		before = queue
	}
	answers(&others, targetMemory-time.Second, 10, 0)
	require.Zero(t, slow.Queue(targetMemory), "it is tried again")
}

func TestDomainFadesToNoQueue(t *testing.T) {
	var domain Domain
	target, unseen := NewTarget(&domain), NewTarget(&domain)
	now := answers(&target, 0, 50, 3)
	require.Positive(t, unseen.Queue(now+domainMemory/2))
	require.Zero(t, unseen.Queue(now+domainMemory))
}

func TestRejectionCountsAsAFullQueue(t *testing.T) {
	var domain Domain
	target := NewTarget(&domain)
	target.RecordRejection(time.Second)
	require.InDelta(t, maxQueue, target.Queue(time.Second), 0)
}

// One absurd time must not keep a target unused for longer than a full queue does.
func TestSamplesAreBounded(t *testing.T) {
	var domain Domain
	target := NewTarget(&domain)
	target.RecordAnswer(time.Second, 1e9)
	require.InDelta(t, maxQueue, target.Queue(time.Second), 0)
	target.RecordAnswer(2*time.Second, -1e9)
	require.GreaterOrEqual(t, target.Queue(2*time.Second), 0.0)
}

func TestUsualVariationIsNoQueue(t *testing.T) {
	var domain Domain
	target := NewTarget(&domain)
	target.RecordAnswer(time.Second, noise/2)
	require.Zero(t, target.Queue(time.Second))
}
