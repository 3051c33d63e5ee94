// Package rpc carries control messages between entry hosts, and queries of operators,
// over net/rpc. The sender doesn't wait for a message to take effect. A message that
// can't be sent in time is dropped and counted.
package rpc

// Counters adds to counters by name. *expvar.Map implements it.
type Counters interface {
	Add(name string, delta int64)
}

// Counter names. CountDropped and CountRefused are prefixes that a cause follows.
const (
	// CountSent counts messages that a peer accepted.
	CountSent = "rpc_sent"
	// CountDelivered counts received messages that were passed to a worker.
	CountDelivered = "rpc_delivered"
	// CountDropped counts messages that were not sent, or that the peer did not accept,
	// by cause.
	CountDropped = "rpc_dropped_"
	// CountRefused counts refused incoming calls and connections, by cause.
	CountRefused = "rpc_refused_"
	// CountConnection counts connections opened to peers.
	CountConnection = "rpc_connections_opened"
)

// cause is the reason why a message was dropped or a call refused, as counters name it.
type cause string

const (
	causeQueueFull          cause = "queue_full"
	causeTooManyPeers       cause = "too_many_peers"
	causeConnect            cause = "connect"
	causeCallFailed         cause = "call_failed"
	causeTimeout            cause = "timeout"
	causeRejected           cause = "rejected"
	causeClosed             cause = "closed"
	causeVersion            cause = "version"
	causeMalformed          cause = "malformed"
	causeBusy               cause = "busy"
	causeTooManyConnections cause = "too_many_connections"
)
