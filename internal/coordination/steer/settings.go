package steer

import "time"

// Timing of offers. A client repeats its opening after 200 ms and 600 ms and
// gives up after 1.4 s, so an opening is offered again well before its repeat.
const (
	// minAttemptTimeout and offerMax bound the time until an unanswered opening is offered
	// to another target.
	minAttemptTimeout = 15 * time.Millisecond
	maxAttemptTimeout = 80 * time.Millisecond
	// initialTimeoutLocal and offerRemote are the times to wait for a target that has not
	// answered yet, in the own and in another failure domain.
	initialTimeoutLocal  = 30 * time.Millisecond
	initialTimeoutRemote = 50 * time.Millisecond
	// timeoutDeviations is the number of mean deviations added to the mean answer
	// time, as TCP's retransmission timeout does (RFC 6298).
	timeoutDeviations = 4
	// clientConnectTimeout is when a client gives its opening up.
	clientConnectTimeout = 1400 * time.Millisecond
	// maxAttempts bounds the targets that one opening is offered to.
	maxAttempts = 5
)

// Checks of targets that leave openings or data unanswered.
const (
	// checkInterval is the time from the end of a check to the next.
	checkInterval = 600 * time.Millisecond
	// maxEvidenceAge bounds the age of a failed check that flows are reset by.
	// It is well below the 4 s for which a healed link still counts as disturbed.
	maxEvidenceAge = 1500 * time.Millisecond
	// minRetransmitDelay is the time after which a client repeats data, less what the ways of
	// both packets may differ by.
	minRetransmitDelay = 190 * time.Millisecond
	// relaxedObjective is the latency objective from which on a client can wait for its
	// own repeat, which comes after 200 ms, and for the try after it.
	relaxedObjective = 400 * time.Millisecond
	// silenceTimeout is the time without an answer after which a target that takes no
	// connection is gone, not busy: a busy one is seen to answer some times a second.
	silenceTimeout = time.Second
	// isolatedAfter is the time without any target's answer after which a host counts as
	// cut off. Packets stand in the queue of a full link for half a second and more.
	isolatedAfter = time.Second
	// minRetransmitSpacing tells a client's repeat, which comes after 200 ms, from copies
	// that the host itself held up.
	minRetransmitSpacing = 100 * time.Millisecond
)

// Costs of a target for a new flow, in requests a slot.
const (
	// openFlowCost is the load that an open flow without a request stands for.
	openFlowCost = 0.1
	// remoteCost keeps flows in their own failure domain, where they are closer
	// and a cut between domains does not reach them.
	remoteCost = 0.6
	// warmUpCost is added while a target is slow after its start.
	warmUpCost = 0.5
)

// Housekeeping.
const (
	// sweepInterval is the time between two searches for forgotten flows.
	sweepInterval = time.Second
	// defaultIdleTimeout applies while no configuration is known.
	defaultIdleTimeout = 15 * time.Second
)
