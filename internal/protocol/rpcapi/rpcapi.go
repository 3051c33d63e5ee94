// Package rpcapi defines the net/rpc interface of guavad: messages between entry
// hosts (service "Peer") and queries from operators (service "Operator").
package rpcapi

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Version is the version of this interface. Servers refuse and count calls with
// another version.
const Version = 1

// Method names.
const (
	MethodDeliver  = "Peer.Deliver"
	MethodHosts    = "Operator.Hosts"
	MethodTargets  = "Operator.Targets"
	MethodFlows    = "Operator.Flows"
	MethodCounters = "Operator.Counters"
)

// Envelope carries one message between entry hosts. Message is gob-encoded as an
// interface; RegisterMessages registers the concrete types.
type Envelope struct {
	Version int
	From    state.Host
	Message any
}

// Ack answers Deliver.
type Ack struct {
	Accepted bool
	Reason   string
}

// Query is the argument of the Operator methods.
type Query struct {
	Version int
	// Service filters targets and flows; empty means all.
	Service state.ServiceID
}

// HostRow is one entry host with its status on the answering host.
type HostRow struct {
	Host        state.Host
	Status      string
	Incarnation uint64
	Version     state.ReleaseVersion
}

// HostsReply is the reply to Operator.Hosts.
type HostsReply struct {
	Answering state.HostID
	Version   state.ReleaseVersion
	Ready     bool
	// Awaited describes what a host that is not ready waits for.
	Awaited string
	Rows    []HostRow
}

// TargetRow is one target with its state on the answering host.
type TargetRow struct {
	Service   state.ServiceID
	Target    state.TargetID
	Domain    state.DomainID
	Address   string
	Leaving   bool
	Withdrawn bool
	Ejected   bool
	// ShareMilli scales the target's share of new flows, in thousandths.
	ShareMilli uint32
	// OpenFlows and Openings count the flows that are open and that were placed
	// on the target by the answering host.
	OpenFlows int64
	Openings  int64
}

// TargetsReply is the reply to Operator.Targets.
type TargetsReply struct {
	Answering state.HostID
	Version   state.ReleaseVersion
	Rows      []TargetRow
}

// FlowRow counts the flows of one service that the answering host owns.
type FlowRow struct {
	Service  state.ServiceID
	Customer state.CustomerID
	// Way is the name of the service's forwarding mode.
	Way     string
	Open    int64
	Opened  int64
	Refused int64
}

// FlowsReply is the reply to Operator.Flows.
type FlowsReply struct {
	Answering state.HostID
	Rows      []FlowRow
}

// Counter is one named counter.
type Counter struct {
	Name  string
	Value int64
}

// CountersReply is the reply to Operator.Counters; Rows are sorted by name.
type CountersReply struct {
	Answering state.HostID
	At        time.Time
	Rows      []Counter
}
