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
	// checkAttempts must all fail: the first packet of a connection may be lost.
	checkAttempts = 2
	// maxChecks bounds the checks at a time.
	maxChecks = 32
	// lateFactor tells a target that does not answer from a host that was held up:
	// an attempt that took longer than this many timeouts proves nothing.
	lateFactor = 2
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
		c.results <- checkResult{target: check.Target, alive: connects(check)}
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
func connects(check steer.Check) bool {
	for range checkAttempts {
		began := time.Now()
		alive, err := attempt(check)
		late := time.Since(began) > lateFactor*checkTimeout
		if err == nil {
			return alive
		}
		if late {
			return true
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return false
		}
	}
	return false
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
