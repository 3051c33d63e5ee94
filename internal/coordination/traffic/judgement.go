package traffic

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// headerFlag bits travel in relay.Header.Reason with VerdictForward.
type headerFlag uint8

const (
	// headerFresh marks the first packet that carries a new verdict.
	headerFresh headerFlag = 1 << iota
	// headerTentative marks a verdict that the receiver may overrule.
	headerTentative
	// headerGuessed marks a target found by the fallback.
	headerGuessed
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

// judgement is a verdict about a flow, as decided here or as received.
type judgement struct {
	verdict relay.Verdict
	// target and flags belong to VerdictForward.
	target state.TargetNumber
	flags  headerFlag
	// reason and retryAfter belong to VerdictRefuse; reason also says why
	// there is no verdict.
	reason     Reason
	retryAfter uint16
}

// forwardTo is the verdict to forward a new flow to a target.
func forwardTo(target state.TargetNumber) judgement {
	return judgement{verdict: relay.VerdictForward, target: target}
}

// refusal is the verdict to refuse a new flow.
func refusal(reason Reason, retryAfter time.Duration) judgement {
	return judgement{verdict: relay.VerdictRefuse, reason: reason, retryAfter: retryUnits(retryAfter)}
}

// undecided tells why there is no verdict.
func undecided(reason Reason) judgement {
	return judgement{verdict: relay.VerdictNone, reason: reason}
}

// judgementOf reads the verdict of a header.
func judgementOf(h relay.Header) judgement {
	switch h.Verdict {
	case relay.VerdictForward:
		return judgement{verdict: h.Verdict, target: h.Target, flags: headerFlag(h.Reason)}
	case relay.VerdictRefuse:
		return judgement{verdict: h.Verdict, reason: Reason(h.Reason), retryAfter: h.RetryAfter}
	default:
		return judgement{}
	}
}

// header writes the verdict into a header of a kind.
func (v judgement) header(kind relay.Kind) relay.Header {
	h := relay.Header{Kind: kind, Verdict: v.verdict}
	if v.verdict == relay.VerdictRefuse {
		h.Reason = uint8(v.reason)
		h.RetryAfter = v.retryAfter
		return h
	}
	h.Target = v.target
	h.Reason = uint8(v.flags)
	return h
}

// has reports whether a flag is set.
func (v judgement) has(f headerFlag) bool { return v.flags&f != 0 }

// phase returns the phase that the flags tell.
func (v judgement) phase() phase {
	switch {
	case v.verdict == relay.VerdictRefuse:
		return phaseRefused
	case v.has(headerClosing):
		return phaseClosing
	case v.has(headerOpen):
		return phaseOpen
	default:
		return phaseOpening
	}
}

// judgementFrom returns what a record says about its flow.
func judgementFrom(r *record) judgement {
	if !r.forwards() {
		return judgement{verdict: relay.VerdictRefuse, reason: r.reason, retryAfter: r.retryAfter}
	}
	v := forwardTo(r.target)
	if r.has(flagTentative) {
		v.flags |= headerTentative
	}
	if r.has(flagGuessed) {
		v.flags |= headerGuessed
	}
	switch r.phase {
	case phaseOpen:
		v.flags |= headerOpen
	case phaseClosing:
		v.flags |= headerClosing
	}
	return v
}

// agrees reports whether a record holds the same verdict.
func (v judgement) agrees(r *record) bool {
	if v.verdict == relay.VerdictRefuse {
		return !r.forwards()
	}
	return r.forwards() && r.target == v.target
}

// overrides reports whether the verdict replaces that of a record: what another
// owner has confirmed does, unless it is a guess and the record is not, or it
// has seen no packet in mid-flow and the record has.
func (v judgement) overrides(r *record) bool {
	if v.verdict != relay.VerdictForward || v.agrees(r) || v.has(headerTentative) {
		return false
	}
	if r.phase == phaseOpen && v.phase() == phaseOpening {
		return false
	}
	return !v.has(headerGuessed) || r.has(flagGuessed)
}
