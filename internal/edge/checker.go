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
	// checkTimeout bounds one attempt to connect: several round trips between
	// failure domains.
	checkTimeout = 60 * time.Millisecond
	// failuresNeeded attempts must fail: the first packet of a connection may be
	// lost.
	failuresNeeded = 2
	// maxAttempts bounds the attempts of one check.
	maxAttempts = 4
	// maxChecks bounds the checks at a time.
	maxChecks = 32
	// checkStep divides an attempt; a step that ends later than stepMargin after its
	// time shows that the host was held up, and the attempt proves nothing.
	checkStep  = 10 * time.Millisecond
	stepMargin = 5 * time.Millisecond
)

// Reasons why an attempt has no answer.
var (
	errSilent = errors.New("no connection in time")
	errHeldUp = errors.New("the host got no processor time meanwhile")
)

// checkResult is the outcome of a check.
type checkResult struct {
	target catalog.TargetID
	proof  steer.CheckOutcome
}

// checker connects to targets that seem not to answer.
type checker struct {
	edge    *Edge
	socket  *udp.Socket
	pool    *ants.Pool
	results chan checkResult
}

func newChecker(e *Edge, socket *udp.Socket) (*checker, error) {
	pool, err := ants.NewPool(maxChecks, ants.WithNonblocking(true), ants.WithPanicHandler(stop))
	if err != nil {
		return nil, oops.Code("check_pool").Wrap(err)
	}
	return &checker{edge: e, socket: socket, pool: pool, results: make(chan checkResult, maxChecks)}, nil
}

// start checks a target in the background. Without a free worker it returns
// false and nothing is proven.
func (c *checker) start(check steer.Check) bool {
	c.edge.metrics.checks.Inc()
	err := c.pool.Submit(func() {
		c.results <- checkResult{target: check.Target, proof: prove(check, overNetwork)}
		c.wake()
	})
	if err != nil {
		c.edge.log.Warn("target not checked", "address", check.Address.String(), "error", err.Error())
	}
	return err == nil
}

// wake has the traffic loop look at the results.
func (c *checker) wake() {
	if err := c.socket.StopReading(time.Now()); err != nil && !isClosed(err) {
		c.edge.log.Error("traffic loop not woken", "error", err.Error())
	}
}

// probe is how targets are tried; tests have others.
type probe struct {
	// attempt tries a target once.
	attempt func(steer.Check) (alive bool, err error)
	// reaches tells whether any of the addresses connects within checkTimeout.
	reaches func([]netip.AddrPort) bool
}

var overNetwork = probe{attempt: attempt, reaches: reaches}

// prove tells whether the target answers, can't be shown not to, or is silent. The
// witnesses are asked while the attempt runs that decides.
func prove(check steer.Check, p probe) steer.CheckOutcome {
	failures := 0
	for range maxAttempts {
		deciding := failures == failuresNeeded-1
		witnessed := make(chan bool, 1)
		if deciding {
			go func() { witnessed <- p.reaches(check.Witnesses) }()
		}
		alive, err := p.attempt(check)
		switch {
		case err == nil && alive:
			return steer.CheckPassed
		case err == nil, errors.Is(err, syscall.ECONNREFUSED):
			return steer.CheckRefused
		case errors.Is(err, errHeldUp):
			continue
		}
		failures++
		if !deciding {
			continue
		}
		if <-witnessed {
			return steer.CheckTimedOut
		}
		return steer.CheckAllTimedOut
	}
	return steer.CheckPassed
}

// reaches implements probe. Without an address there is no witness to ask.
func reaches(addresses []netip.AddrPort) bool {
	connected := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() {
			conn, err := connect(address, checkTimeout)
			if err == nil {
				_ = conn.Close()
			}
			connected <- err == nil || errors.Is(err, syscall.ECONNREFUSED)
		}()
	}
	for range addresses {
		if <-connected {
			return true
		}
	}
	return false
}

// attempt opens a connection and asks for the target's name if it matters. An
// address that connects and then stays silent is that of a busy target.
func attempt(check steer.Check) (alive bool, err error) {
	conn, err := connect(check.Address, checkTimeout)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	if check.ExpectedName == "" {
		return true, nil
	}
	name, err := askName(conn, check)
	return err != nil || name == check.ExpectedName, nil
}

// connect opens a connection within a time. It waits in steps: a host that gets no
// processor time would take its own time-out for the target's silence.
func connect(address netip.AddrPort, limit time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dialed := make(chan dialResult, 1)
	go func() {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
		dialed <- dialResult{conn: conn, err: err}
	}()
	result, err := await(dialed, limit, time.After)
	if err != nil {
		go closeLate(dialed)
		return nil, err
	}
	return result.conn, result.err
}

// dialResult is the outcome of opening a connection.
type dialResult struct {
	conn net.Conn
	err  error
}

// await returns the result if it comes within a time, a multiple of checkStep.
func await(dialed <-chan dialResult, limit time.Duration, after func(time.Duration) <-chan time.Time) (dialResult, error) {
	for range limit / checkStep {
		began := time.Now()
		select {
		case result := <-dialed:
			return result, nil
		case <-after(checkStep):
		}
		if time.Since(began) > checkStep+stepMargin {
			return dialResult{}, errHeldUp
		}
	}
	select {
	case result := <-dialed:
		return result, nil
	default:
		return dialResult{}, errSilent
	}
}

// closeLate closes a connection that came too late.
func closeLate(dialed <-chan dialResult) {
	if result := <-dialed; result.conn != nil {
		_ = result.conn.Close()
	}
}

// askName asks the target at the other end for its name.
func askName(conn net.Conn, check steer.Check) (string, error) {
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
	return response.Header.Get(platform.HeaderTarget), nil
}
