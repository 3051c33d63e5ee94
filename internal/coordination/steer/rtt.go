package steer

import "time"

// rttEstimator estimates the time from forwarding a SYN to the client's packet that
// confirms the target's answer, as RFC 6298 estimates round trip times.
type rttEstimator struct {
	mean      time.Duration
	deviation time.Duration
}

func (e *rttEstimator) add(sample time.Duration) {
	if e.mean == 0 {
		e.mean = sample
		e.deviation = sample / 2
		return
	}
	diff := e.mean - sample
	if diff < 0 {
		diff = -diff
	}
	e.deviation += (diff - e.deviation) / 4
	e.mean += (sample - e.mean) / 8
}

// attemptTimeout is how long to wait for the target's answer to a SYN before the SYN is
// forwarded to another target.
func (r *targetRecord) attemptTimeout() time.Duration {
	if r.handshakeRTT.mean == 0 {
		if r.local {
			return initialTimeoutLocal
		}
		return initialTimeoutRemote
	}
	return min(max(r.handshakeRTT.mean+timeoutDeviations*r.handshakeRTT.deviation, minAttemptTimeout), maxAttemptTimeout)
}
