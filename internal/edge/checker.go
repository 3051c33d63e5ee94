package edge

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/samber/oops"

	"github.com/guavawharf/guavawharf/internal/coordination/steer"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
	"github.com/guavawharf/guavawharf/internal/transport/udp"
	"github.com/guavawharf/guavawharf/platform"
)

// Limits of the checks of targets.
const (
	// checkTimeout bounds one connection attempt: several round trips between failure
	// domains.
	checkTimeout = 60 * time.Millisecond
	// witnessTimeout bounds the connection to a witness. It is below checkTimeout: a host whose
	// own link is full reaches a near witness within checkTimeout and a far target not.
	witnessTimeout = 30 * time.Millisecond
	// requiredFailures is the number of attempts that must fail, since the first packet
	// of a connection may be lost.
	requiredFailures = 2
	// maxAttempts bounds the attempts of one check.
	maxAttempts = 4
	// maxChecks bounds the concurrent checks.
	maxChecks = 32
	// The wait for a connection is divided into steps of waitStep. A step that ends more
	// than waitStepTolerance late shows that the host did not run in time, and the
	// attempt is inconclusive.
	waitStep          = 10 * time.Millisecond
	waitStepTolerance = 5 * time.Millisecond
)

// Errors of an attempt that ended without an answer.
var (
	errNoAnswer = errors.New("no connection within the timeout")
	errStalled  = errors.New("the host got no processor time during the attempt")
)

// checkResult is the outcome of a check.
type checkResult struct {
	target  catalog.TargetID
	outcome steer.CheckOutcome
}

// checker checks over TCP whether targets that seem silent still answer.
type checker struct {
	edge    *Edge
	socket  *udp.Socket
	pool    *ants.Pool
	results chan checkResult
}

func newChecker(e *Edge, socket *udp.Socket) (*checker, error) {
	pool, err := ants.NewPool(maxChecks, ants.WithNonblocking(true), ants.WithPanicHandler(repanic))
	if err != nil {
		return nil, oops.Code("check_pool").Wrap(err)
	}
	return &checker{edge: e, socket: socket, pool: pool, results: make(chan checkResult, maxChecks)}, nil
}

// start checks a target in the background. It returns false if no worker is free; there
// is no result then.
func (c *checker) start(check steer.Check) bool {
	c.edge.metrics.checks.Inc()
	err := c.pool.Submit(func() {
		c.results <- checkResult{target: check.Target, outcome: checkTarget(check, networkProber)}
		c.wake()
	})
	if err != nil {
		c.edge.log.Warn("target check not started; too many run", "address", check.Address.String(), "error", err.Error())
	}
	return err == nil
}

// wake interrupts the traffic loop's read so that it handles queued results.
func (c *checker) wake() {
	if err := c.socket.SetReadDeadline(time.Now()); err != nil && !isClosed(err) {
		c.edge.log.Error("cannot wake the traffic loop", "error", err.Error())
	}
}

// prober makes the connections of a check. Tests replace it.
type prober struct {
	// attempt connects to a target once.
	attempt func(steer.Check) (alive bool, err error)
	// anyReachable reports whether any of the addresses answers within witnessTimeout.
	anyReachable func([]netip.AddrPort) bool
}

var networkProber = prober{attempt: attempt, anyReachable: anyReachable}

// checkTarget makes up to maxAttempts attempts and returns their outcome. The
// witnesses are contacted during the deciding attempt. A check that stays inconclusive
// returns steer.CheckInconclusive.
func checkTarget(check steer.Check, p prober) steer.CheckOutcome {
	failures := 0
	for range maxAttempts {
		deciding := failures == requiredFailures-1
		witnessAnswered := make(chan bool, 1)
		if deciding {
			go func() { witnessAnswered <- p.anyReachable(check.Witnesses) }()
		}
		alive, err := p.attempt(check)
		switch {
		case err == nil && alive:
			return steer.CheckPassed
		case err == nil, errors.Is(err, syscall.ECONNREFUSED):
			return steer.CheckRefused
		case errors.Is(err, errStalled):
			continue
		}
		failures++
		if !deciding {
			continue
		}
		if <-witnessAnswered {
			return steer.CheckTimedOut
		}
		return steer.CheckAllTimedOut
	}
	return steer.CheckInconclusive
}

// anyReachable reports whether any of the addresses accepts or refuses a connection
// within witnessTimeout; false without addresses.
func anyReachable(addresses []netip.AddrPort) bool {
	answered := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() {
			conn, err := dial(address, witnessTimeout)
			if err == nil {
				_ = conn.Close()
			}
			answered <- err == nil || errors.Is(err, syscall.ECONNREFUSED)
		}()
	}
	for range addresses {
		if <-answered {
			return true
		}
	}
	return false
}

// attempt connects to the target and, if the check names it, verifies its name. A
// target that accepts the connection but does not send its name counts as alive: it
// is busy.
func attempt(check steer.Check) (alive bool, err error) {
	conn, err := dial(check.Address, checkTimeout)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	if check.ExpectedName == "" {
		return true, nil
	}
	name, err := fetchTargetName(conn, check)
	return err != nil || name == check.ExpectedName, nil
}

// dial opens a connection within limit. It waits in steps, since a host that gets no
// processor time would mistake its own timeout for a silent target.
func dial(address netip.AddrPort, limit time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dialed := make(chan dialResult, 1)
	go func() {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
		dialed <- dialResult{conn: conn, err: err}
	}()
	result, err := awaitDial(dialed, limit, time.After)
	if err != nil {
		go closeLateConn(dialed)
		return nil, err
	}
	return result.conn, result.err
}

// dialResult is the outcome of opening a connection.
type dialResult struct {
	conn net.Conn
	err  error
}

// awaitDial returns the result if it arrives within limit, a multiple of waitStep;
// errNoAnswer if it does not, errStalled if the host did not run in time. A result counts
// even if the host stalled while it arrived.
func awaitDial(dialed <-chan dialResult, limit time.Duration, after func(time.Duration) <-chan time.Time) (dialResult, error) {
	for range limit / waitStep {
		began := time.Now()
		select {
		case result := <-dialed:
			return result, nil
		case <-after(waitStep):
		}
		select {
		case result := <-dialed:
			return result, nil
		default:
		}
		if time.Since(began) > waitStep+waitStepTolerance {
			return dialResult{}, errStalled
		}
	}
	return dialResult{}, errNoAnswer
}

// closeLateConn closes a connection that is established after dial returned an error.
func closeLateConn(dialed <-chan dialResult) {
	if result := <-dialed; result.conn != nil {
		_ = result.conn.Close()
	}
}

// fetchTargetName requests the health path over conn and returns the target's name from
// the response header.
func fetchTargetName(conn net.Conn, check steer.Check) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(checkTimeout)); err != nil {
		return "", err
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+check.Address.String()+check.HealthPath, nil)
	if err != nil {
		return "", err
	}
	if err := request.Write(conn); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return "", err
	}
	_ = response.Body.Close()
	return response.Header.Get(platform.HeaderTargetID), nil
}
