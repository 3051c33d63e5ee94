package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// newAlarmFixture returns a fixture with ten targets and a flow at the first one, whose
// client has retransmitted its request without an answer.
func newAlarmFixture(t *testing.T) (*fixture, *testClient) {
	var targets []catalog.Target
	for number := range 10 {
		targets = append(targets, orderTarget(number+1, "a"))
	}
	f := newFixture(t, targets...)
	f.learnBaseline()
	client := f.establishAt(feedAddress, "t1")
	client.sendRequest()
	f.now += minRetransmitDelay
	client.retransmit()
	return f, client
}

// finishChecks checks the first target and others, of which the given number are up.
func (f *fixture) finishChecks(first CheckOutcome, up int) {
	for number := range up {
		f.engine.RecordCheck(f.now, f.suspect(fmt.Sprintf("t%d", number+2)), CheckPassed)
	}
	f.engine.RecordCheck(f.now, f.suspect("t1"), first)
}

// suspect has a target checked and returns its ID.
func (f *fixture) suspect(name string) catalog.TargetID {
	for id, r := range f.engine.targets.byID {
		if r.name == name {
			f.engine.targets.requestCheck(f.now, r)
			return id
		}
	}
	f.t.Fatalf("no target %s", name)
	return 0
}

// A host that joined took over most flows. Their unanswered packets had many targets checked
// at once, all of them up, and one of these checks timed out: a flow of a living target was
// reset (huaman-retratos-now-grown trouble-3).
func TestTimeoutAmongFalseAlarmsResetsNothing(t *testing.T) {
	f, _ := newAlarmFixture(t)
	f.finishChecks(CheckTimedOut, minFalseAlarms+1)
	require.Empty(t, f.advance(0))
}

func TestTimeoutOfASilentTargetResets(t *testing.T) {
	f, client := newAlarmFixture(t)
	f.finishChecks(CheckTimedOut, 0)
	verdicts := f.advance(0)
	require.Len(t, verdicts, 1)
	require.Equal(t, client.address, verdicts[0].Client)
}

// A refused connection is proof whatever else was suspected.
func TestRefusalAmongFalseAlarmsResets(t *testing.T) {
	f, _ := newAlarmFixture(t)
	f.finishChecks(CheckRefused, minFalseAlarms+1)
	require.Len(t, f.advance(0), 1)
}

// Long silence is enough also among false alarms.
func TestLongSilenceAmongFalseAlarmsResets(t *testing.T) {
	f, client := newAlarmFixture(t)
	f.now += silenceTimeout
	client.retransmit()
	f.finishChecks(CheckTimedOut, minFalseAlarms+1)
	require.Len(t, f.advance(0), 1)
}

func TestFalseAlarmsAreForgotten(t *testing.T) {
	var a alarms
	for range 20 {
		a.record(0, true)
	}
	require.True(t, a.unreliable(0))
	require.False(t, a.unreliable(5*time.Second))
	for range 10 {
		a.record(0, false)
	}
	require.False(t, a.unreliable(0), "a third and more were right")
}

// A SYN that five targets leave unanswered shows that its flow's path has changed.
func TestOneSYNMakesFewTargetsSuspected(t *testing.T) {
	f, _ := newAlarmFixture(t)
	f.engine.DrainChecks()
	f.newClient(feedAddress).sendSYN()
	for range 2 * maxAttempts {
		f.advance(maxAttemptTimeout)
	}
	require.Len(t, f.engine.DrainChecks(), maxSuspectedAttempts)
}

// Checks of targets that had left were repeated by every host until they were forgotten: half
// of all checks (huaman-retratos-now-grown trouble-3).
func TestTargetThatLeftIsNotCheckedAgain(t *testing.T) {
	f, client := newAlarmFixture(t)
	f.finishChecks(CheckTimedOut, 0)
	f.engine.DrainChecks()
	f.advance(checkInterval)
	require.Len(t, f.engine.DrainChecks(), 1, "it takes new flows once it is back")
	f.engine.RecordCheck(f.now, f.suspect("t1"), CheckTimedOut)
	f.directory.Remove(f.now, "t1")
	f.publish()
	f.engine.removeFlow((&Packet{Client: client.address, Service: client.service}).key())
	f.advance(checkInterval)
	require.Empty(t, f.engine.DrainChecks())
}
