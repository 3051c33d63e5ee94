package control

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/listing"
	"github.com/guavawharf/guavawharf/internal/coordination/membership"
	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Timings of a graceful leave.
const (
	// DefaultLeaveDeadline bounds a leave when the settings give no deadline.
	DefaultLeaveDeadline = 20 * time.Second
	// LeaveAnnounceTime is how long the announcement gets to reach the others
	// before flow records are passed on.
	LeaveAnnounceTime = 2 * time.Second
	// LeaveLingerTime is how long a host goes on relaying after its records are
	// passed on.
	LeaveLingerTime = 2 * time.Second
)

// Settings are what a Control is built from.
type Settings struct {
	Self state.Host
	// Incarnation is higher than that of any earlier run of this host.
	Incarnation uint64
	// Peers are hosts to try at start.
	Peers []state.Host
	// LeaveDeadline bounds a graceful leave; 0 means DefaultLeaveDeadline.
	LeaveDeadline time.Duration
	// ReleaseVariant breaks a rule of release agreement in tests.
	ReleaseVariant release.Variant
}

// Messages returns the zero values of all message types between entry hosts,
// for registration with gob.
func Messages() []message.Message {
	messages := membership.Messages()
	messages = append(messages, release.Messages()...)
	return append(messages, listing.Messages()...)
}
