package steer

import "time"

// Timing of offers. A client repeats its opening after 200 ms and 600 ms and
// gives up after 1.4 s, so an opening is offered again well before its repeat.
const (
	// offerMin and offerMax bound the time until an unanswered opening is offered
	// to another target.
	offerMin = 15 * time.Millisecond
	offerMax = 80 * time.Millisecond
	// offerLocal and offerRemote are the times to wait for a target that has not
	// answered yet, in the own and in another failure domain.
	offerLocal  = 30 * time.Millisecond
	offerRemote = 50 * time.Millisecond
	// offerDeviations is the number of mean deviations added to the mean answer
	// time, as TCP's retransmission timeout does (RFC 6298).
	offerDeviations = 4
	// openingLifetime is when a client gives its opening up.
	openingLifetime = 1400 * time.Millisecond
	// maxOffers bounds the targets that one opening is offered to.
	maxOffers = 5
)

// Suspicion of targets that leave openings unanswered.
const (
	// suspectAfter openings without an answer in a row make a target suspect: one
	// may be a lost datagram.
	suspectAfter = 2
	// probeInterval is how often a suspect target gets one opening.
	probeInterval = 500 * time.Millisecond
	// domainSuspects targets of a failure domain that turn suspect within
	// domainWindow, none of the domain answering, make the domain suspect.
	domainSuspects = 2
	domainWindow   = 1500 * time.Millisecond
)

// Resets of flows whose target fell silent. The client repeats unanswered data
// after 200 ms, 400 ms and so on.
const (
	// repeatSpacing tells a repeat from copies that the host itself held up.
	repeatSpacing = 100 * time.Millisecond
	// silentAfter without an answer to anybody makes a target silent.
	silentAfter = 250 * time.Millisecond
	// silentRepeats is the number of repeats on one flow that prove the silence
	// of a target which nobody else suspects.
	silentRepeats = 2
)

// Costs of a target for a new flow, in requests a slot.
const (
	// openFlowCost is the load that an open flow without a request stands for.
	openFlowCost = 0.1
	// remoteCost keeps flows in their own failure domain, where they are closer
	// and a cut between domains does not reach them.
	remoteCost = 0.6
	// warmingCost is added while a target is slow after its start.
	warmingCost = 0.5
)

// Housekeeping.
const (
	// sweepInterval is the time between two searches for forgotten flows.
	sweepInterval = time.Second
	// defaultIdle applies while no configuration is known.
	defaultIdle = 15 * time.Second
)
