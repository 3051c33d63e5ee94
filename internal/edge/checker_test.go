package edge

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/steer"
)

// scriptedAttempts returns an attempt function that takes a fixed time and returns the
// given errors in turn, the last one repeatedly; nil stands for an answer.
func scriptedAttempts(took time.Duration, results ...error) func(steer.Check) (bool, error) {
	return func(steer.Check) (bool, error) {
		time.Sleep(took)
		err := results[0]
		if len(results) > 1 {
			results = results[1:]
		}
		return err == nil, err
	}
}

// A host without processor time took its own timeouts for a silent target and reset a
// flow to it (hanbit-gw trouble-2, whose loop never slept). A timeout is inconclusive,
// too, while no witness answers, since the host's own link may be full
// (huaman-retratos-grown trouble-1).
func TestCheckIsInconclusiveOnStalledHost(t *testing.T) {
	for name, c := range map[string]struct {
		attempt   func(steer.Check) (bool, error)
		witnessed bool
		outcome   steer.CheckOutcome
	}{
		"answers":                   {scriptedAttempts(time.Millisecond, nil), false, steer.CheckPassed},
		"refuses":                   {scriptedAttempts(time.Millisecond, syscall.ECONNREFUSED), false, steer.CheckRefused},
		"silent":                    {scriptedAttempts(checkTimeout, errNoAnswer), true, steer.CheckTimedOut},
		"silent like the witnesses": {scriptedAttempts(checkTimeout, errNoAnswer), false, steer.CheckAllTimedOut},
		"one packet lost":           {scriptedAttempts(checkTimeout, errNoAnswer, nil), true, steer.CheckPassed},
		"host stalled":              {scriptedAttempts(checkTimeout, errStalled), true, steer.CheckInconclusive},
		"stalled, then silent":      {scriptedAttempts(checkTimeout, errStalled, errNoAnswer), true, steer.CheckTimedOut},
		"no route, reported early":  {scriptedAttempts(time.Millisecond, errors.New("no route to host")), true, steer.CheckTimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reaches := func([]netip.AddrPort) bool { return c.witnessed }
				require.Equal(t, c.outcome, checkTarget(steer.Check{}, prober{attempt: c.attempt, anyReachable: reaches}))
			})
		})
	}
}

func TestWitnessIsReachableIfItAcceptsAConnection(t *testing.T) {
	b := newTestBed(t)
	target := b.target("i-2a00000001", "a")
	nobody := netip.AddrPortFrom(netip.MustParseAddr("203.0.113.1"), 9)
	b.eventually(func() bool { return anyReachable([]netip.AddrPort{nobody, target.Address}) })
	require.False(t, anyReachable(nil))
}

// On huaman-retratos-grown trouble-1, seed 302378754711, a flow of a running target was
// reset once, under other load: a host with 0.06 of a core stalls for longer than an
// attempt takes while it reads a large configuration.
func TestDialTimeoutCountsOnlyIfHostWasNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		_, err := awaitDial(make(chan dialResult), checkTimeout, time.After)
		require.ErrorIs(t, err, errNoAnswer)
		require.Equal(t, checkTimeout, time.Since(began))

		_, err = awaitDial(make(chan dialResult), checkTimeout, func(d time.Duration) <-chan time.Time {
			return time.After(d + waitStepTolerance + time.Millisecond)
		})
		require.ErrorIs(t, err, errStalled)
	})
}

// A host that stalls until both the result and the end of the wait are there must use the
// result: it took any of the two, and a target that had refused the connection counted as
// alive.
func TestDialResultCountsOnStalledHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 50 {
			dialed := make(chan dialResult, 1)
			stalled := func(d time.Duration) <-chan time.Time {
				time.Sleep(d + waitStepTolerance + time.Millisecond)
				dialed <- dialResult{err: syscall.ECONNREFUSED}
				ended := make(chan time.Time, 1)
				ended <- time.Now()
				return ended
			}
			result, err := awaitDial(dialed, checkTimeout, stalled)
			require.NoError(t, err)
			require.ErrorIs(t, result.err, syscall.ECONNREFUSED)
		}
	})
}

// attemptUntilConclusive repeats an attempt until the host did not stall during it. Next
// to other tests it may stall, and the attempt is inconclusive.
func attemptUntilConclusive(t *testing.T, check steer.Check) (alive bool) {
	err := errStalled
	for end := time.Now().Add(testTimeout); errors.Is(err, errStalled) && time.Now().Before(end); {
		alive, err = attempt(check)
	}
	require.NoError(t, err)
	return alive
}

func TestCheckRejectsAnotherTargetAtTheAddress(t *testing.T) {
	b := newTestBed(t)
	target := b.target("i-2a00000001", "a")
	check := steer.Check{Address: target.Address, HealthPath: "/health"}
	for name, alive := range map[string]bool{"": true, target.Name: true, "i-2a00000009": false} {
		check.ExpectedName = name
		require.Equal(t, alive, attemptUntilConclusive(t, check), name)
	}
}

func TestBusyTargetThatAcceptsConnectionsIsAlive(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	require.True(t, attemptUntilConclusive(t, steer.Check{Address: address, ExpectedName: "i-1", HealthPath: "/health"}))
}
