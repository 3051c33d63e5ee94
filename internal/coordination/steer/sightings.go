package steer

import (
	"maps"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Limits of a table of sightings.
const (
	maxSightings     = 4096
	sightingLifetime = time.Minute
	// maxSightingAdvance is the number of bytes by which the sequence numbers of a flow's
	// packets may differ during the lifetime of a sighting. One that differs by more belongs to
	// a later flow of the same client port.
	maxSightingAdvance = 1 << 17
)

// sightings holds when something was first seen of flows.
type sightings map[state.FlowKey]sighting

// sighting is a packet of a flow, by its sequence number, and when something was first seen.
type sighting struct {
	seq   uint32
	first time.Duration
}

// near reports whether a packet with the sequence number seq may belong to the flow.
func (s sighting) near(seq uint32) bool {
	advance := int32(seq - s.seq)
	return -maxSightingAdvance <= advance && advance <= maxSightingAdvance
}

// first returns the sighting of the flow with a packet, and records the time given if there
// is none and the table is not full.
func (s sightings) first(key state.FlowKey, seq uint32, otherwise time.Duration) time.Duration {
	if known, found := s[key]; found && known.near(seq) {
		return known.first
	}
	s.record(key, seq, otherwise)
	return otherwise
}

// record records a sighting, unless the table is full.
func (s sightings) record(key state.FlowKey, seq uint32, at time.Duration) {
	if _, found := s[key]; found || len(s) < maxSightings {
		s[key] = sighting{seq: seq, first: at}
	}
}

// sweep removes the sightings that are older than sightingLifetime.
func (s sightings) sweep(now time.Duration) {
	maps.DeleteFunc(s, func(_ state.FlowKey, known sighting) bool { return now-known.first > sightingLifetime })
}
