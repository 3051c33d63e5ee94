package callers

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/exchange"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Options sets up a run.
type Options struct {
	// Listen receives the answers, IP packets in UDP.
	Listen netip.AddrPort
	// Hosts are the entry hosts' packet addresses; each packet goes to a random
	// one of them.
	Hosts []netip.AddrPort
	// PlatformURL is the base URL of the platform's object service. If it is given,
	// its list of hosts replaces Hosts whenever it changes; leaving ones get no
	// packets.
	PlatformURL string
	Seed     uint64
	// Loss is the probability that the fabric loses a packet, each way.
	Loss float64
	// Delay is the least time a packet takes each way, Jitter is added at random.
	Delay  time.Duration
	Jitter time.Duration
	// Workers is the number of goroutines that carry the flows.
	Workers int
	// TimeLimit ends the run; flows not done by then are broken.
	TimeLimit  time.Duration
	Groups []Group
}

// Group is a number of flows of one kind.
type Group struct {
	Name     string
	Service  netip.AddrPort
	Protocol state.Protocol
	Flows    int
	// Start is when the first flow opens, Ramp the time until the last does.
	Start time.Duration
	Ramp  time.Duration
	// Exchanges is the number of requests of a flow, one each Interval.
	Exchanges int
	Interval  time.Duration
	Kind      exchange.Kind
	// AnswerSize is the size of an answer's body in bytes.
	AnswerSize uint32
}

const (
	maxWorkers = 200
	// maxFlows bounds the flows of a run.
	maxFlows = 500_000
)

func (o Options) validate() error {
	var errs []error
	if len(o.Hosts) == 0 {
		errs = append(errs, errors.New("no hosts"))
	}
	if o.Loss < 0 || o.Loss >= 1 {
		errs = append(errs, fmt.Errorf("loss %v is not in [0, 1)", o.Loss))
	}
	if o.Workers < 1 || o.Workers > maxWorkers {
		errs = append(errs, fmt.Errorf("workers %d are not 1 to %d", o.Workers, maxWorkers))
	}
	if o.TimeLimit <= 0 {
		errs = append(errs, errors.New("no limit"))
	}
	flows := 0
	for _, g := range o.Groups {
		flows += g.Flows
		errs = append(errs, g.validate())
	}
	if flows < 1 || flows > maxFlows {
		errs = append(errs, fmt.Errorf("flows %d are not 1 to %d", flows, maxFlows))
	}
	return errors.Join(errs...)
}

func (g Group) validate() error {
	switch {
	case g.Protocol != state.TCP && g.Protocol != state.UDP:
		return fmt.Errorf("group %s: protocol is neither TCP nor UDP", g.Name)
	case g.Protocol == state.UDP && g.Kind == exchange.Deposit:
		return fmt.Errorf("group %s: deposits need TCP", g.Name)
	case !g.Service.IsValid() || g.Flows < 0 || g.Exchanges < 1:
		return fmt.Errorf("group %s: service, flows and exchanges are needed", g.Name)
	}
	return nil
}
