package traffic

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// headerFlag bits travel in relay.Header.Reason with VerdictForward.
type headerFlag uint8

const (
	// headerNew marks the first packet that carries a new verdict.
	headerNew headerFlag = 1 << iota
	// headerTentative marks a verdict that the receiver may overrule.
	headerTentative
	// headerFallback marks a target that was derived by the fallback.
	headerFallback
	// headerOpen marks a flow of which a mid-flow packet was seen.
	headerOpen
	// headerClosing marks a flow whose caller has sent FIN or RST.
	headerClosing
	// headerMoved marks an opening that was moved because its previous target did
	// not answer.
	headerMoved
)

// retryUnit is the unit of retry-after times in headers and records.
const retryUnit = 10 * time.Millisecond

// retryUnits converts a duration to units of retryUnit, rounding up.
func retryUnits(d time.Duration) uint16 {
	return uint16(min((d+retryUnit-1)/retryUnit, 1<<16-1))
}

// retryDuration converts units of retryUnit to a duration.
func retryDuration(units uint16) time.Duration {
	return time.Duration(units) * retryUnit
}

// flowVerdict is a verdict on a flow, decided here or received from another host.
type flowVerdict struct {
	kind relay.Verdict
	// target and flags are set with VerdictForward.
	target state.TargetNumber
	flags  headerFlag
	// reason and retryAfter are set with VerdictRefuse. With VerdictNone, reason
	// says why there is no verdict.
	reason     Reason
	retryAfter uint16
}

// forwardVerdict returns the verdict to forward a new flow to a target.
func forwardVerdict(target state.TargetNumber) flowVerdict {
	return flowVerdict{kind: relay.VerdictForward, target: target}
}

// refuseVerdict returns the verdict to refuse a new flow.
func refuseVerdict(reason Reason, retryAfter time.Duration) flowVerdict {
	return flowVerdict{kind: relay.VerdictRefuse, reason: reason, retryAfter: retryUnits(retryAfter)}
}

// noVerdict returns the lack of a verdict, with its reason.
func noVerdict(reason Reason) flowVerdict {
	return flowVerdict{kind: relay.VerdictNone, reason: reason}
}

// verdictFromHeader returns the verdict that a relay header carries.
func verdictFromHeader(h relay.Header) flowVerdict {
	switch h.Verdict {
	case relay.VerdictForward:
		return flowVerdict{kind: h.Verdict, target: h.Target, flags: headerFlag(h.Reason)}
	case relay.VerdictRefuse:
		return flowVerdict{kind: h.Verdict, reason: Reason(h.Reason), retryAfter: h.RetryAfter}
	default:
		return flowVerdict{}
	}
}

// header returns a relay header of the given kind that carries the verdict.
func (v flowVerdict) header(kind relay.Kind) relay.Header {
	h := relay.Header{Kind: kind, Verdict: v.kind}
	if v.kind == relay.VerdictRefuse {
		h.Reason = uint8(v.reason)
		h.RetryAfter = v.retryAfter
		return h
	}
	h.Target = v.target
	h.Reason = uint8(v.flags)
	return h
}

// has reports whether a flag is set.
func (v flowVerdict) has(f headerFlag) bool { return v.flags&f != 0 }

// phase returns the phase of the flow according to the verdict's flags.
func (v flowVerdict) phase() phase {
	switch {
	case v.kind == relay.VerdictRefuse:
		return phaseRefused
	case v.has(headerClosing):
		return phaseClosing
	case v.has(headerOpen):
		return phaseOpen
	default:
		return phaseOpening
	}
}

// verdictFromRecord returns the verdict that a record holds.
func verdictFromRecord(r *record) flowVerdict {
	if !r.hasTarget() {
		return flowVerdict{kind: relay.VerdictRefuse, reason: r.reason, retryAfter: r.retryAfter}
	}
	v := forwardVerdict(r.target)
	if r.has(flagTentative) {
		v.flags |= headerTentative
	}
	if r.has(flagFallback) {
		v.flags |= headerFallback
	}
	switch r.phase {
	case phaseOpen:
		v.flags |= headerOpen
	case phaseClosing:
		v.flags |= headerClosing
	}
	return v
}

// matches reports whether a record holds the same verdict.
func (v flowVerdict) matches(r *record) bool {
	if v.kind == relay.VerdictRefuse {
		return !r.hasTarget()
	}
	return r.hasTarget() && r.target == v.target
}

// overrides reports whether a received verdict replaces that of a record. Only
// a forward verdict that is not tentative does. A verdict based on openings alone
// does not replace that of an open flow, and a target derived by the fallback
// does not replace one that was not.
func (v flowVerdict) overrides(r *record) bool {
	if v.kind != relay.VerdictForward || v.matches(r) || v.has(headerTentative) {
		return false
	}
	if r.phase == phaseOpen && v.phase() == phaseOpening {
		return false
	}
	return !v.has(headerFallback) || r.has(flagFallback)
}
