package store

// Counters counts by name; *expvar.Map is one.
type Counters interface {
	Add(name string, delta int64)
}

// Counter names. Prefixes are followed by a cause or a verb.
const (
	// CountAttempt counts HTTP requests by verb.
	CountAttempt = "platform_attempt_"
	// CountRetry counts repeated attempts by the cause of the failure before.
	CountRetry = "platform_retry_"
	// CountRefused counts calls that were not run, by cause.
	CountRefused = "platform_refused_"
	// CountUnknown counts calls that may have run, by verb.
	CountUnknown = "platform_unknown_"
	// CountReadBack counts reads after a lost answer, by what they found.
	CountReadBack = "platform_readback_"
	// CountCircuit counts changes of the circuit, by its new state.
	CountCircuit = "platform_circuit_"
)

// cause names why an attempt failed or a call was refused.
type cause string

// Causes.
const (
	causeNone        cause = ""
	causeConnect     cause = "connect"
	causeTimeout     cause = "timeout"
	causeResponseLost        cause = "answer_lost"
	causeUnavailable cause = "unavailable"
	causeMalformed   cause = "malformed_answer"
	causeRateLimited cause = "rate_limited"
	causeHoldOff     cause = "hold_off"
	causeCircuitOpen     cause = "circuit_open"
	causeRetryBudget      cause = "retry_budget"
	causeInvalid     cause = "invalid"
	causeTooLarge    cause = "too_large"
	causeCancelled   cause = "cancelled"
)
