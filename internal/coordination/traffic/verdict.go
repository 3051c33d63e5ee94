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
	// headerFallback marks a target found by the fallback.
	headerFallback
	// headerOpen marks a flow that has seen a packet in mid-flow.
	headerOpen
	// headerClosing marks a flow that has seen FIN or RST.
	headerClosing
	// headerMoved marks an opening that another target did not answer.
	headerMoved
)

// retryUnit is the unit of retry-after in headers and records.
const retryUnit = 10 * time.Millisecond

// retryUnits converts a duration to header units, rounding up.
func retryUnits(d time.Duration) uint16 {
	return uint16(min((d+retryUnit-1)/retryUnit, 1<<16-1))
}

// retryDuration converts header units to a duration.
func retryDuration(units uint16) time.Duration {
	return time.Duration(units) * retryUnit
}

// flowVerdict is a verdict about a flow, as decided here or as received.
type flowVerdict struct {
	kind relay.Verdict
	// target and flags belong to VerdictForward.
	target state.TargetNumber
	flags  headerFlag
	// reason and retryAfter belong to VerdictRefuse; reason also says why
	// there is no verdict.
	reason     Reason
	retryAfter uint16
}

// forwardVerdict is the verdict to forward a new flow to a target.
func forwardVerdict(target state.TargetNumber) flowVerdict {
	return flowVerdict{kind: relay.VerdictForward, target: target}
}

// refuseVerdict is the verdict to refuse a new flow.
func refuseVerdict(reason Reason, retryAfter time.Duration) flowVerdict {
	return flowVerdict{kind: relay.VerdictRefuse, reason: reason, retryAfter: retryUnits(retryAfter)}
}

// noVerdict tells why there is no verdict.
func noVerdict(reason Reason) flowVerdict {
	return flowVerdict{kind: relay.VerdictNone, reason: reason}
}

// verdictFromHeader reads the verdict of a header.
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

// header writes the verdict into a header of a kind.
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

// phase returns the phase that the flags tell.
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

// verdictFromRecord returns what a record says about its flow.
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

// overrides reports whether the verdict replaces that of a record: what another
// owner has confirmed does, unless it is a guess and the record is not, or it
// has seen no packet in mid-flow and the record has.
func (v flowVerdict) overrides(r *record) bool {
	if v.kind != relay.VerdictForward || v.matches(r) || v.has(headerTentative) {
		return false
	}
	if r.phase == phaseOpen && v.phase() == phaseOpening {
		return false
	}
	return !v.has(headerFallback) || r.has(flagFallback)
}
