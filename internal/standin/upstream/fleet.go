package upstream

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Fleet is the set of upstreams of one process. They share a RequestLog.
type Fleet struct {
	targets       []*Target
	requestLog    *RequestLog
	returnAddress netip.AddrPort
	log           *slog.Logger
}

// NewFleet starts the upstreams, which send their answers to returnAddress and run
// until Close. If one cannot be started, none is left running.
func NewFleet(options []Options, returnAddress netip.AddrPort, log *slog.Logger) (*Fleet, error) {
	f := &Fleet{requestLog: NewRequestLog(), returnAddress: returnAddress, log: log}
	for i, o := range options {
		target, err := newTarget(o, uint32(i), f)
		if err != nil {
			f.Close()
			return nil, fmt.Errorf("upstream %s: %w", o.ID, err)
		}
		f.targets = append(f.targets, target)
	}
	return f, nil
}

// ErrUnknownTarget is returned if no upstream of the fleet has the id.
var ErrUnknownTarget = errors.New("unknown target")

// Target returns the upstream with the id.
func (f *Fleet) Target(id state.TargetID) (*Target, error) {
	for _, t := range f.targets {
		if t.options.ID == id {
			return t, nil
		}
	}
	return nil, fmt.Errorf("%w: %s", ErrUnknownTarget, id)
}

// Counts returns the counts of all upstreams in the order of the options.
func (f *Fleet) Counts() []Counts {
	all := make([]Counts, len(f.targets))
	for i, t := range f.targets {
		all[i] = t.Counts()
	}
	return all
}

// Close stops the upstreams.
func (f *Fleet) Close() {
	for _, t := range f.targets {
		t.close()
	}
}

// Addresses returns the addresses on which the upstreams receive packets, in the
// order of the options.
func (f *Fleet) Addresses() []netip.AddrPort {
	all := make([]netip.AddrPort, len(f.targets))
	for i, t := range f.targets {
		all[i] = t.Address()
	}
	return all
}
