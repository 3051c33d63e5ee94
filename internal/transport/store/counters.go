package store

// Counters adds to counters by name. *expvar.Map implements it.
type Counters interface {
	Add(name string, delta int64)
}

// Prefixes of counter names, followed by the value that the counter is for.
const (
	// CountAttempt counts HTTP requests by verb.
	CountAttempt = "platform_attempt_"
	// CountRetry counts retries by the cause of the preceding failure.
	CountRetry = "platform_retry_"
	// CountRefused counts calls that were not executed, and retries that the budget
	// refused, by cause.
	CountRefused = "platform_refused_"
	// CountUnknown counts calls that may have been executed, by verb.
	CountUnknown = "platform_unknown_"
	// CountReadBack counts reads after a write without a definite response, by the status
	// of the write that they found.
	CountReadBack = "platform_readback_"
	// CountCircuit counts state changes of the circuit breaker, by the new state.
	CountCircuit = "platform_circuit_"
)

// cause is the reason why an attempt failed or a call was refused, as counters name it.
type cause string

const (
	causeNone         cause = ""
	causeConnect      cause = "connect"
	causeTimeout      cause = "timeout"
	causeResponseLost cause = "answer_lost"
	causeUnavailable  cause = "unavailable"
	causeMalformed    cause = "malformed_answer"
	causeRateLimited  cause = "rate_limited"
	causeHoldOff      cause = "hold_off"
	causeCircuitOpen  cause = "circuit_open"
	causeRetryBudget  cause = "retry_budget"
	causeInvalid      cause = "invalid"
	causeTooLarge     cause = "too_large"
	causeCancelled    cause = "cancelled"
)
