// Package control combines membership, release agreement, target health and the
// publishing of snapshots into the control state machine of an entry host. The
// machine performs no I/O and reads no clock: its input is typed events with the
// current time, its output is typed actions.
package control

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Event is an input of the state machine.
type Event interface{ event() }

// Tick is the periodic timer event; the daemon sends one every TickInterval.
type Tick struct{}

// TickInterval is the time between two Tick events.
const TickInterval = 100 * time.Millisecond

// MessageReceived carries a message from another entry host.
type MessageReceived struct {
	From    state.Host
	Message message.Message
}

// RequestID matches a PlatformCallCompleted event to its PlatformCall.
type RequestID uint64

// PlatformCallCompleted carries the outcome of a PlatformCall, failures included.
type PlatformCallCompleted struct {
	ID      RequestID
	Call    objects.Call
	Outcome objects.Outcome
}

// LeaveRequested starts this host's graceful leave.
type LeaveRequested struct{}

// TrafficReported carries per-target counts from the packet workers, at most once
// a second. Targets whose counts have not changed may be left out.
type TrafficReported struct {
	// OpenFlows is the number of flow records on this host.
	OpenFlows int
	Targets   []TargetReport
}

// TargetReport holds what the packet workers counted for one target since the
// last report. OpenFlows is a current value, not an increment.
type TargetReport struct {
	Number      state.TargetNumber
	OpenFlows   int64
	Openings    int64
	Completed   int64
	Retransmits int64
	Resets      int64
}

// RecordsHandedOver reports that a leaving host's flow records were handed over.
type RecordsHandedOver struct{}

func (Tick) event()                  {}
func (MessageReceived) event()       {}
func (PlatformCallCompleted) event() {}
func (LeaveRequested) event()        {}
func (TrafficReported) event()       {}
func (RecordsHandedOver) event()     {}

// Action is an output of the state machine that the daemon carries out.
type Action interface{ action() }

// Send sends a message to another entry host; delivery is not guaranteed.
type Send struct {
	To      state.Host
	Message message.Message
}

// PlatformCall starts a call to the platform; exactly one PlatformCallCompleted
// event follows unless the process ends.
type PlatformCall struct {
	ID   RequestID
	Call objects.Call
}

// Publish makes a new snapshot current for the packet workers.
type Publish struct{ Snapshot *state.Snapshot }

// HandOverRecords makes the packet workers send this host's flow records to the
// hosts that own those flows now.
type HandOverRecords struct{}

// Stop ends the process: the graceful leave is complete.
type Stop struct{}

// Log writes a log event under a stable name.
type Log struct {
	Name   string
	Detail string
}

func (Send) action()            {}
func (PlatformCall) action()    {}
func (Publish) action()         {}
func (HandOverRecords) action() {}
func (Stop) action()            {}
func (Log) action()             {}

// Core is the interface through which the daemon, the tests and external
// harnesses drive the state machine.
type Core interface {
	Step(now time.Time, event Event) []Action
}
