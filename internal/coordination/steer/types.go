// Package steer decides about packets whose flow's target travels in a cookie:
// where an opening goes, when it is offered to another target, when a flow is
// reset, and what the host believes about its targets. It needs no state to
// forward an established packet. What it keeps of flows are hints for placing
// and for finding targets that fail; losing them breaks nothing.
package steer

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// Packet is a client's packet.
type Packet struct {
	Client  netip.AddrPort
	Service netip.AddrPort
	Cookie  catalog.Cookie
	Seq     uint32
	Ack     uint32
	// Length is the number of data bytes.
	Length int
	SYN    bool
	FIN    bool
	RST    bool
	// Raw is the packet as received.
	Raw []byte
}

// key returns the flow's key.
func (p *Packet) key() state.FlowKey {
	return state.FlowKey{Protocol: state.TCP, Caller: p.Client, Service: p.Service}
}

// Action is what to do about a flow.
type Action uint8

// Actions.
const (
	// ActionDrop sends nothing.
	ActionDrop Action = iota
	// ActionForward sends the packet to the target.
	ActionForward
	// ActionReset sends a reset to the client.
	ActionReset
)

// Reason tells why a verdict is what it is.
type Reason string

// Reasons.
const (
	ReasonEstablished     Reason = "established"
	ReasonPlaced          Reason = "placed"
	ReasonAlreadyOpen     Reason = "already_open"
	ReasonRetried         Reason = "offered_again"
	ReasonNotReady        Reason = "not_ready"
	ReasonNoRoute         Reason = "no_route"
	ReasonNoTarget        Reason = "no_target"
	ReasonUnknownCookie   Reason = "unknown_cookie"
	ReasonTargetUnknown   Reason = "target_unknown"
	ReasonTargetSilent    Reason = "target_silent"
	ReasonTargetRestarted Reason = "target_restarted"
)

// Verdict is the decision about one packet, or about a flow at a later time.
type Verdict struct {
	Action Action
	Reason Reason
	// Target is set for ActionForward.
	Target *catalog.Target
	// SYN tells that the packet opens a flow and gets the target's cookie.
	SYN bool
	// Client and Service name the flow of an opening or a reset; Seq belongs to a
	// reset.
	Client  netip.AddrPort
	Service netip.AddrPort
	Seq     uint32
	// Raw is the packet to send for ActionForward.
	Raw []byte
	// HandshakeTime is the time from the opening, where the packet is the first one
	// after it; 0 otherwise.
	HandshakeTime time.Duration
	// Evidence tells what decided about an opening or a reset.
	Evidence Evidence
}

// Evidence is what a decision rests on, for logs.
type Evidence struct {
	// Target is the name of the target that was decided about.
	Target string
	// Age is how old the evidence is: the target's last answer where an opening
	// is offered, its last failed check where a flow is reset.
	Age time.Duration
	// Waiting and Open are the target's requests and flows as this host sees them.
	Waiting int
	Open    int
}

// HealthChange is a change of what the host believes about a target.
type HealthChange struct {
	Target string
	Domain state.DomainID
	// Down tells that the target does not answer; false that it does again.
	Down bool
	// Missed is the number of openings and repeats in a row without an answer.
	Missed int
	// Silence is the time since the last answer.
	Silence time.Duration
}

// Check asks whether a target's address answers. Openings and data
// without an answer are a hint only, since datagrams get lost; a connection that
// can't be made is proof.
type Check struct {
	Target  catalog.TargetID
	Address netip.AddrPort
	// ExpectedName is who has to be there; empty when it is enough that anything answers.
	// A target that failed a check may have ended and left its address to another.
	ExpectedName string
	// HealthPath is where a target tells its name over HTTP.
	HealthPath string
	// Witnesses are addresses of targets that answered lately, one in the own failure
	// domain and one in another where there are any.
	Witnesses []netip.AddrPort
}

// CheckOutcome is the result of a check.
type CheckOutcome uint8

// Proofs.
const (
	// CheckPassed tells that the target answered, or can't be shown not to.
	CheckPassed CheckOutcome = iota
	// CheckRefused tells that the target refused, or that another has its address.
	CheckRefused
	// CheckTimedOut tells that the target was silent while a witness answered. It may be gone,
	// or so busy that it takes no connection.
	CheckTimedOut
	// CheckAllTimedOut tells that neither the target nor a witness answered: the host may be
	// cut off, or its own link holds its packets up.
	CheckAllTimedOut
)
