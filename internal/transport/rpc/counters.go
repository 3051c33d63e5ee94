// Package rpc carries control messages between entry hosts and operators'
// reads over net/rpc. Messages are sent without waiting for their effect; a
// message that can't be sent in time is dropped and counted.
package rpc

// Counters counts by name; *expvar.Map is one.
type Counters interface {
	Add(name string, delta int64)
}

// Counter names.
const (
	// CountSent counts messages that a peer accepted.
	CountSent = "rpc_sent"
	// CountDelivered counts messages handed to the control state.
	CountDelivered = "rpc_delivered"
	// CountDropped counts messages not sent, by cause.
	CountDropped = "rpc_dropped_"
	// CountRefused counts incoming calls and connections refused, by cause.
	CountRefused = "rpc_refused_"
	// CountConnection counts connections opened to peers.
	CountConnection = "rpc_connections_opened"
)

// cause names why a message was dropped or a call refused.
type cause string

// Causes.
const (
	causeQueueFull   cause = "queue_full"
	causeTooManyPeers       cause = "too_many_peers"
	causeConnect     cause = "connect"
	causeCallFailed        cause = "call_failed"
	causeTimeout     cause = "timeout"
	causeRejected    cause = "rejected"
	causeClosed      cause = "closed"
	causeVersion     cause = "version"
	causeMalformed   cause = "malformed"
	causeBusy        cause = "busy"
	causeTooManyConnections cause = "too_many_connections"
)
