package steer

import "time"

// Timing of the attempts to forward a SYN. A client retransmits its SYN after 200 ms and
// 600 ms and gives up after 1.4 s, so an attempt times out well before the first
// retransmission.
const (
	// minAttemptTimeout and maxAttemptTimeout bound the time until an unanswered SYN is
	// forwarded to another target.
	minAttemptTimeout = 15 * time.Millisecond
	maxAttemptTimeout = 80 * time.Millisecond
	// initialTimeoutLocal and initialTimeoutRemote are the attempt timeouts for a target
	// without a handshake RTT sample, in the local and in another failure domain.
	initialTimeoutLocal  = 30 * time.Millisecond
	initialTimeoutRemote = 50 * time.Millisecond
	// timeoutDeviations is the number of mean deviations added to the mean handshake RTT,
	// as in TCP's retransmission timeout (RFC 6298).
	timeoutDeviations = 4
	// clientConnectTimeout is the age of a SYN at which its client gives up.
	clientConnectTimeout = 1400 * time.Millisecond
	// maxAttempts bounds the attempts to forward one SYN.
	maxAttempts = 5
)

// Checks of targets that leave SYNs or data unanswered.
const (
	// checkInterval is the time from the end of one check of a target to the next.
	checkInterval = 600 * time.Millisecond
	// maxEvidenceAge bounds the age of a failed check for which flows are reset. It is well
	// below the 4 s for which a healed link still counts as disturbed.
	maxEvidenceAge = 1500 * time.Millisecond
	// minRetransmitDelay is the shortest delay between the arrivals of data and of its
	// retransmission: the client's 200 ms less the difference of the two path delays.
	minRetransmitDelay = 190 * time.Millisecond
	// relaxedObjective is the smallest latency objective that leaves a client time for its
	// own retransmission, sent after 200 ms, and for the retry that follows a reset.
	relaxedObjective = 400 * time.Millisecond
	// silenceTimeout is the time without an answer after which a target that accepts no
	// connection counts as down and not as busy: a busy target answers several times a
	// second.
	silenceTimeout = time.Second
	// isolatedAfter is the time without an answer from any target after which the host
	// counts as isolated. Packets wait in the queue of a full link for half a second and
	// more.
	isolatedAfter = time.Second
	// minRetransmitSpacing separates a client's retransmissions, which are sent after
	// 200 ms, from copies that arrive together because the host itself was held up.
	minRetransmitSpacing = 100 * time.Millisecond
)

// Costs of a target for a new flow, in requests per slot.
const (
	// openFlowCost is the load of an open flow without an outstanding request.
	openFlowCost = 0.1
	// remoteCost keeps flows in the local failure domain, where targets are closer and a
	// network partition between domains does not reach them.
	remoteCost = 0.6
	// warmUpCost is added while a target is slow after its start.
	warmUpCost = 0.5
)

// abandonedAfter is the time after a request's last transmission from which its client
// may have given up, so that the request no longer counts as in flight.
const abandonedAfter = time.Second

// Removal of idle flows.
const (
	// sweepInterval is the time between two sweeps, which remove idle flows and sample the
	// load.
	sweepInterval = time.Second
	// defaultIdleTimeout applies while the configuration sets none.
	defaultIdleTimeout = 15 * time.Second
)
