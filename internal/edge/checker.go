package edge

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
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
	// lateMargin tells a target that does not answer from a host that was held up:
	// an attempt that ended later than this after its timeout proves nothing.
	lateMargin = 10 * time.Millisecond
)

// checkResult is the outcome of a check.
type checkResult struct {
	target catalog.TargetID
	alive  bool
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
		c.results <- checkResult{target: check.Target, alive: connects(check, attempt)}
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

// connects tells whether the target answers, or can't be shown not to.
func connects(check steer.Check, attempt func(steer.Check) (bool, error)) bool {
	failures := 0
	for range maxAttempts {
		began := time.Now()
		alive, err := attempt(check)
		if err == nil {
			return alive
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return false
		}
		if time.Since(began) > checkTimeout+lateMargin {
			continue
		}
		failures++
		if failures == failuresNeeded {
			return false
		}
	}
	return true
}

// attempt opens a connection and asks for the target's name if it matters. An
// address that connects and then stays silent is that of a busy target.
func attempt(check steer.Check) (alive bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", check.Address.String())
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	if check.Name == "" {
		return true, nil
	}
	name, err := askName(conn, check)
	return err != nil || name == check.Name, nil
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
