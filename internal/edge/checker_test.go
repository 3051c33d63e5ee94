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

// attempts plays attempts that each take a time and end with an error, or with
// an answer for nil.
func attempts(took time.Duration, results ...error) func(steer.Check) (bool, error) {
	return func(steer.Check) (bool, error) {
		time.Sleep(took)
		err := results[0]
		if len(results) > 1 {
			results = results[1:]
		}
		return err == nil, err
	}
}

// A host that got no processor time took its own timeouts for a target's silence
// and reset a flow at it (hanbit-gw trouble-2, with a loop that never slept). Silence
// proves nothing either while no witness answers: the host's own link may be full
// (huaman-retratos-grown trouble-1).
func TestAHostThatIsHeldUpProvesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		attempt   func(steer.Check) (bool, error)
		witnessed bool
		proof     steer.CheckOutcome
	}{
		"answers":              {attempts(time.Millisecond, nil), false, steer.CheckPassed},
		"refuses":              {attempts(time.Millisecond, syscall.ECONNREFUSED), false, steer.CheckRefused},
		"silent":               {attempts(checkTimeout, errSilent), true, steer.CheckTimedOut},
		"silent as all others": {attempts(checkTimeout, errSilent), false, steer.CheckAllTimedOut},
		"one packet lost":      {attempts(checkTimeout, errSilent, nil), true, steer.CheckPassed},
		"host held up":         {attempts(checkTimeout, errHeldUp), true, steer.CheckPassed},
		"held up, then silent": {attempts(checkTimeout, errHeldUp, errSilent), true, steer.CheckTimedOut},
		"no route, told early": {attempts(time.Millisecond, errors.New("no route to host")), true, steer.CheckTimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reaches := func([]netip.AddrPort) bool { return c.witnessed }
				require.Equal(t, c.proof, prove(steer.Check{}, probe{attempt: c.attempt, reaches: reaches}))
			})
		})
	}
}

func TestAWitnessAnswersByTakingAConnection(t *testing.T) {
	b := newBed(t)
	target := b.target("i-2a00000001", "a")
	nobody := netip.AddrPortFrom(netip.MustParseAddr("203.0.113.1"), 9)
	b.eventually(func() bool { return reaches([]netip.AddrPort{nobody, target.Address}) })
	require.False(t, reaches(nil))
}

// On huaman-retratos-grown trouble-1, seed 302378754711, a flow of a living target
// was reset once, beside other load: a host of 0.06 of a core that reads a large
// configuration stands still for longer than an attempt takes.
func TestOnlyAHostThatRanAllTheWhileFindsSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		_, err := await(make(chan dialResult), checkTimeout, time.After)
		require.ErrorIs(t, err, errSilent)
		require.Equal(t, checkTimeout, time.Since(began))

		_, err = await(make(chan dialResult), checkTimeout, func(d time.Duration) <-chan time.Time {
			return time.After(d + stepMargin + time.Millisecond)
		})
		require.ErrorIs(t, err, errHeldUp)
	})
}

// tried attempts a check until the host ran all the while: beside other tests it may
// not, and the attempt then proves nothing.
func tried(t *testing.T, check steer.Check) (alive bool) {
	err := errHeldUp
	for end := time.Now().Add(patience); errors.Is(err, errHeldUp) && time.Now().Before(end); {
		alive, err = attempt(check)
	}
	require.NoError(t, err)
	return alive
}

func TestAnotherTargetAtTheAddressIsNotTheOneAskedFor(t *testing.T) {
	b := newBed(t)
	target := b.target("i-2a00000001", "a")
	check := steer.Check{Address: target.Address, HealthPath: "/health"}
	for name, alive := range map[string]bool{"": true, target.Name: true, "i-2a00000009": false} {
		check.ExpectedName = name
		require.Equal(t, alive, tried(t, check), name)
	}
}

func TestABusyTargetThatConnectsCountsAsAlive(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	require.True(t, tried(t, steer.Check{Address: address, ExpectedName: "i-1", HealthPath: "/health"}))
}
