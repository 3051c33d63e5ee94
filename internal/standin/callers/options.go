package callers

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/exchange"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Options configures a run.
type Options struct {
	// Listen is the UDP address that receives the answers, which are IP packets
	// encapsulated in UDP.
	Listen netip.AddrPort
	// Hosts are the entry hosts' packet addresses; each packet goes to a random
	// one of them.
	Hosts []netip.AddrPort
	// PlatformURL is the base URL of the platform's object service. If it is set,
	// the host list stored there replaces Hosts whenever the list changes. Hosts
	// that are leaving get no packets.
	PlatformURL string
	Seed        uint64
	// Loss is the probability, in each direction, that the fabric loses a packet.
	Loss float64
	// Delay is the minimum one-way delay of a packet. A random time of up to
	// Jitter is added to it.
	Delay  time.Duration
	Jitter time.Duration
	// Workers is the number of goroutines that run the flows.
	Workers int
	// TimeLimit bounds the run; flows without an outcome by then count as broken.
	TimeLimit time.Duration
	Groups    []Group
}

// Group describes flows to one service that send the same requests.
type Group struct {
	Name     string
	Service  netip.AddrPort
	Protocol state.Protocol
	Flows    int
	// Each flow opens at a random time within Ramp after Start, which counts
	// from the beginning of the run.
	Start time.Duration
	Ramp  time.Duration
	// Exchanges is the number of requests of a flow. The next request is due
	// Interval after the previous one was sent, once that one is answered.
	Exchanges int
	Interval  time.Duration
	Kind      exchange.Kind
	// AnswerSize is the size in bytes of the body of each answer.
	AnswerSize uint32
}

const (
	maxWorkers = 200
	// maxFlows bounds the total number of flows of a run.
	maxFlows = 500_000
)

func (o Options) validate() error {
	var errs []error
	if len(o.Hosts) == 0 {
		errs = append(errs, errors.New("no entry hosts given"))
	}
	if o.Loss < 0 || o.Loss >= 1 {
		errs = append(errs, fmt.Errorf("loss is %v, must be at least 0 and less than 1", o.Loss))
	}
	if o.Workers < 1 || o.Workers > maxWorkers {
		errs = append(errs, fmt.Errorf("workers is %d, must be from 1 to %d", o.Workers, maxWorkers))
	}
	if o.TimeLimit <= 0 {
		errs = append(errs, errors.New("time limit must be greater than 0"))
	}
	flows := 0
	for _, g := range o.Groups {
		flows += g.Flows
		errs = append(errs, g.validate())
	}
	if flows < 1 || flows > maxFlows {
		errs = append(errs, fmt.Errorf("total number of flows is %d, must be from 1 to %d", flows, maxFlows))
	}
	return errors.Join(errs...)
}

func (g Group) validate() error {
	switch {
	case g.Protocol != state.TCP && g.Protocol != state.UDP:
		return fmt.Errorf("group %s: protocol must be TCP or UDP", g.Name)
	case g.Protocol == state.UDP && g.Kind == exchange.Deposit:
		return fmt.Errorf("group %s: deposit requests need TCP", g.Name)
	case !g.Service.IsValid() || g.Flows < 0 || g.Exchanges < 1:
		return fmt.Errorf("group %s: needs a service address, at least 0 flows and at least 1 exchange", g.Name)
	}
	return nil
}
