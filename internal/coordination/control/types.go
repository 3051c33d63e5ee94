// Package control is the control state of one entry host: membership, release
// agreement, target health and what is published to traffic. It is a pure
// state machine: typed events and the time go in, typed actions come out.
package control

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Event is something that happened to this host.
type Event interface{ event() }

// Tick is the passing of time; the edge sends one every TickInterval.
type Tick struct{}

// TickInterval is the time between two Tick events.
const TickInterval = 100 * time.Millisecond

// MessageReceived carries a message from another entry host.
type MessageReceived struct {
	From    state.Host
	Message message.Message
}

// RequestID matches a platform answer to the request that caused it.
type RequestID uint64

// PlatformCallCompleted carries the outcome of a PlatformCall.
type PlatformCallCompleted struct {
	ID      RequestID
	Call    objects.Call
	Outcome objects.Outcome
}

// LeaveRequested starts this host's graceful leave.
type LeaveRequested struct{}

// TrafficReported carries per-target counts from traffic, at most once a second.
// Targets without news may be left out.
type TrafficReported struct {
	// OpenFlows is the number of records held by this host.
	OpenFlows int
	Targets   []TargetReport
}

// TargetReport is what traffic saw of one target since the last report.
type TargetReport struct {
	Number      state.TargetNumber
	OpenFlows   int64
	Openings    int64
	Completed   int64
	Retransmits int64
	Resets      int64
}

// RecordsHandedOver tells that a leaving host's flow records were handed over.
type RecordsHandedOver struct{}

func (Tick) event()             {}
func (MessageReceived) event()  {}
func (PlatformCallCompleted) event() {}
func (LeaveRequested) event()   {}
func (TrafficReported) event()  {}
func (RecordsHandedOver) event()  {}

// Action is something the edge does for the core.
type Action interface{ action() }

// Send passes a message to another entry host; it may be lost.
type Send struct {
	To      state.Host
	Message message.Message
}

// PlatformCall asks the platform; exactly one PlatformAnswered follows unless
// the host dies.
type PlatformCall struct {
	ID   RequestID
	Call objects.Call
}

// Publish hands a new snapshot to traffic.
type Publish struct{ Snapshot *state.Snapshot }

// HandOverRecords asks traffic to hand this host's flow records over.
type HandOverRecords struct{}

// Stop ends the process: the graceful leave is complete.
type Stop struct{}

// Log is an event for the log, with a stable name.
type Log struct {
	Name   string
	Detail string
}

func (Send) action()          {}
func (PlatformCall) action()  {}
func (Publish) action()       {}
func (HandOverRecords) action() {}
func (Stop) action()          {}
func (Log) action()        {}

// Core is what the daemon, the tests and an outside harness drive.
type Core interface {
	Step(now time.Time, event Event) []Action
}
