package control

import (
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// network is the fake network between hosts, with fault injection.
type network struct {
	lossRate        float64
	duplicationRate float64
	maxExtraDelay   time.Duration
	// blocked reports whether messages between two domains are dropped; nil drops none.
	blocked func(from, to state.DomainID) bool
	// observe is called for every message sent, unless it is nil.
	observe func(from *node, act Send)
}

func (l *network) send(w *simulation, from *node, act Send) {
	if l.observe != nil {
		l.observe(from, act)
	}
	event := MessageReceived{From: from.host, Message: act.Message}
	l.transmit(w, from.host.Domain, act.To.Domain, func() {
		if to := w.find(act.To.ID); to != nil {
			w.deliver(to, to.run, event)
		}
	})
}

// transmit schedules an arrival in another domain, subject to the faults.
func (l *network) transmit(w *simulation, from, to state.DomainID, arrive func()) {
	copies := 1
	if w.rng.Float64() < l.duplicationRate {
		copies = 2
	}
	for range copies {
		if w.rng.Float64() < l.lossRate {
			continue
		}
		w.after(l.delay(w, from, to), func() {
			if l.blocked == nil || !l.blocked(from, to) {
				arrive()
			}
		})
	}
}

func (l *network) delay(w *simulation, from, to state.DomainID) time.Duration {
	delay := 500 * time.Microsecond
	if from != to {
		delay = 3 * time.Millisecond
	}
	delay += time.Duration(w.rng.Int64N(int64(delay)))
	if l.maxExtraDelay > 0 {
		delay += time.Duration(w.rng.Int64N(int64(l.maxExtraDelay)))
	}
	return delay
}

// isolate returns a blocked function that separates the domains from all others in
// both directions.
func isolate(domains ...state.DomainID) func(from, to state.DomainID) bool {
	return func(from, to state.DomainID) bool {
		return from != to && (slices.Contains(domains, from) || slices.Contains(domains, to))
	}
}
