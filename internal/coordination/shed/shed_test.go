package shed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testObjective = 100 * time.Millisecond
	// usualWait is the time to an answer without a queue.
	usualWait = 20 * time.Millisecond
	// answerInterval is the time between two answers.
	answerInterval = 2 * time.Millisecond
	// testAnswerSize and testRejectionSize are sizes in bytes.
	testAnswerSize    = 800
	testRejectionSize = 153
)

// Priorities of the routes in these tests.
const (
	important   = 1
	unimportant = 2
)

// fixture is a limiter with a clock.
type fixture struct {
	limiter Limiter
	now     time.Duration
	// changes are those that the limiter returned.
	changes []Change
}

// answer records answers of unimportant routes that each took the given time, for a while.
func (f *fixture) answer(took, length time.Duration) { f.answerOf(unimportant, took, length) }

// answerOf records answers of routes with a priority.
func (f *fixture) answerOf(priority int, took, length time.Duration) {
	for end := f.now + length; f.now < end; f.now += answerInterval {
		a := Answer{Took: took, Objective: testObjective, Priority: priority, Size: testAnswerSize}
		if change := f.limiter.RecordAnswer(f.now, a); change != nil {
			f.changes = append(f.changes, *change)
		}
	}
}

// newFixture returns a limiter that has learned the usual time to an answer.
func newFixture() *fixture {
	f := new(fixture)
	f.answer(usualWait, time.Second)
	return f
}

// admitted returns how many of n new flows are admitted, each in flight from then on.
func (f *fixture) admitted(n, priority int) int {
	count := 0
	for number := range n {
		if f.limiter.Admit(priority, testClient(number)) {
			f.limiter.AddInFlight(1)
			count++
		}
	}
	return count
}

func TestNewLimiterAdmitsEveryFlow(t *testing.T) {
	f := new(fixture)
	require.Equal(t, 1000, f.admitted(1000, important))
}

func TestLateAnswersLimitNewFlows(t *testing.T) {
	f := newFixture()
	f.answer(2*testObjective, time.Second)
	require.Len(t, f.changes, 1)
	require.True(t, f.changes[0].Limiting)
	require.Greater(t, f.changes[0].LateShare, maxLateShare)
	f.limiter.AddInFlight(100)
	require.LessOrEqual(t, f.admitted(100, important), maxReserved)
}

// Requests that wait but are answered in time lose nothing; refusing some would.
func TestAnswersInTimeLimitNothing(t *testing.T) {
	f := newFixture()
	f.answer(testObjective*9/10, time.Second)
	require.Empty(t, f.changes)
	require.Equal(t, 1000, f.admitted(1000, unimportant))
}

// A full target's quick rejections make most answers quick.
func TestQuickRejectionsDontHideTheQueue(t *testing.T) {
	f := newFixture()
	for range 200 {
		f.answer(2*testObjective, answerInterval)
		// Ten rejections at once for each request that waited.
		for range 10 {
			f.answer(usualWait, answerInterval)
			f.now -= answerInterval * 9 / 10
		}
	}
	require.NotEmpty(t, f.changes)
	require.Less(t, f.changes[0].LateShare, maxLateShare)
}

func TestLessImportantFlowsGiveWay(t *testing.T) {
	f := newFixture()
	f.answerOf(important, usualWait, time.Second)
	f.answer(2*testObjective, time.Second)
	f.limiter.limit = 10
	f.limiter.reserved = 0
	require.Equal(t, 5, f.admitted(100, unimportant), "up to half of the limit")
	require.Equal(t, 5, f.admitted(100, important), "up to the limit")
}

// A few requests of a route with a higher priority, a probe's for instance, make the others
// no less important.
func TestRarePriorityTakesNothingFromOthers(t *testing.T) {
	f := newFixture()
	f.answerOf(0, usualWait, 4*answerInterval)
	f.answer(2*testObjective, time.Second)
	f.limiter.limit = 10
	f.limiter.reserved = 0
	require.Equal(t, 10, f.admitted(100, unimportant))
}

// Requests on open flows, which can't be refused, may alone exceed the limit.
func TestSomeFlowsAreAdmittedAboveTheLimit(t *testing.T) {
	f := newFixture()
	f.answer(2*testObjective, time.Second)
	f.limiter.AddInFlight(1000)
	admitted := 0
	for range 10 {
		f.answer(2*testObjective, 100*time.Millisecond)
		admitted += f.admitted(100, important)
	}
	answers := float64(time.Second / answerInterval)
	require.Positive(t, admitted)
	require.LessOrEqual(t, float64(admitted), reservedShare*answers)
}

func TestOverloadEndsOnceTheQueueIsGone(t *testing.T) {
	f := newFixture()
	f.answer(2*testObjective, time.Second)
	f.answer(usualWait, 2*time.Second)
	require.Len(t, f.changes, 2)
	require.False(t, f.changes[1].Limiting)
	require.Equal(t, 1000, f.admitted(1000, unimportant))
}

func TestOverloadEndsWithoutAnswers(t *testing.T) {
	f := newFixture()
	f.answer(2*testObjective, time.Second)
	f.limiter.AddInFlight(1000)
	f.now += maxWindow + time.Second
	change := f.limiter.Expire(f.now)
	require.NotNil(t, change)
	require.False(t, change.Limiting)
	require.Equal(t, 100, f.admitted(100, unimportant))
	require.Nil(t, f.limiter.Expire(f.now+maxWindow+time.Second), "told once")
}

// An overload must not become the baseline, or it would end while the queue stands.
func TestBaselineIsNotLearnedInOverload(t *testing.T) {
	f := newFixture()
	f.answer(2*testObjective, futileAfter/2)
	require.Len(t, f.changes, 1)
	require.InDelta(t, usualWait.Seconds(), f.limiter.class(unimportant).baseline.wait.Seconds(), 0.001)
}

// Answers that stay late although new flows are limited are not late for a queue.
func TestLimitThatDoesNotHelpIsGivenUp(t *testing.T) {
	f := newFixture()
	f.answer(testObjective*9/10, 10*time.Second)
	f.limiter.limiting = true
	f.answer(testObjective*9/10, 5*futileAfter)
	require.False(t, f.limiter.limiting)
}
