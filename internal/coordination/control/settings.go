package control

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/listing"
	"github.com/guavawharf/guavawharf/internal/coordination/membership"
	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/coordination/release"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Durations of a graceful leave.
const (
	// DefaultLeaveDeadline is the maximum duration of a leave if Settings has none.
	DefaultLeaveDeadline = 20 * time.Second
	// LeaveAnnounceTime is the wait between the leave announcement and the handover
	// of flow records, for the announcement to reach the other hosts.
	LeaveAnnounceTime = 2 * time.Second
	// LeaveLingerTime is how long a host continues to relay packets after the
	// handover of its flow records.
	LeaveLingerTime = 2 * time.Second
)

// Settings configures a Machine.
type Settings struct {
	Self state.Host
	// Run identifies this run of the process. It must be higher than in any earlier run of
	// this host.
	Run uint64
	// Seeds are the hosts to contact at start.
	Seeds []state.Host
	// LeaveDeadline is the maximum duration of a graceful leave; 0 means
	// DefaultLeaveDeadline.
	LeaveDeadline time.Duration
	// ReleaseVariant makes the release machine break a rule on purpose, in tests.
	ReleaseVariant release.Variant
}

// Messages returns all message types between entry hosts with their names on the
// wire, for registration with gob.
func Messages() []message.Registration {
	messages := membership.Messages()
	messages = append(messages, release.Messages()...)
	return append(messages, listing.Messages()...)
}
