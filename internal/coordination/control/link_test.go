package control

import (
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// link is the fake network between hosts, with its faults.
type link struct {
	lost       float64
	duplicated float64
	extraDelay time.Duration
	// cut tells which messages do not pass, by the domains of both ends.
	cut func(from, to state.DomainID) bool
	// observe sees every message sent; nil for nobody.
	observe func(from *node, act Send)
}

func (l *link) send(w *world, from *node, act Send) {
	if l.observe != nil {
		l.observe(from, act)
	}
	event := MessageReceived{From: from.host, Message: act.Message}
	l.carry(w, from.host.Domain, act.To.Domain, func() {
		if to := w.find(act.To.ID); to != nil {
			w.deliver(to, to.run, event)
		}
	})
}

// carry takes something from one domain to another, with the faults.
func (l *link) carry(w *world, from, to state.DomainID, arrive func()) {
	copies := 1
	if w.rng.Float64() < l.duplicated {
		copies = 2
	}
	for range copies {
		if w.rng.Float64() < l.lost {
			continue
		}
		w.after(l.delay(w, from, to), func() {
			if l.cut == nil || !l.cut(from, to) {
				arrive()
			}
		})
	}
}

func (l *link) delay(w *world, from, to state.DomainID) time.Duration {
	delay := 500 * time.Microsecond
	if from != to {
		delay = 3 * time.Millisecond
	}
	delay += time.Duration(w.rng.Int64N(int64(delay)))
	if l.extraDelay > 0 {
		delay += time.Duration(w.rng.Int64N(int64(l.extraDelay)))
	}
	return delay
}

// cutOff separates domains from all others, in both directions.
func cutOff(domains ...state.DomainID) func(from, to state.DomainID) bool {
	return func(from, to state.DomainID) bool {
		return from != to && (slices.Contains(domains, from) || slices.Contains(domains, to))
	}
}
