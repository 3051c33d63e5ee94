// Package steer decides how to handle client packets whose flow's target is named by
// a cookie in each packet: which target gets a SYN, when the SYN is retried at another
// target, when a flow is reset, and which targets are down. Established packets are
// forwarded without per-flow state. The flow state that is kept only serves target
// selection and failure detection; losing it breaks no flow. The engine sees only the
// clients' packets and infers the targets' answers from them.
package steer

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// Packet is a decoded packet from a client.
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

// Retransmitted reports whether a SYN is a copy of an earlier one: its acknowledgement
// number counts the copies.
func (p *Packet) Retransmitted() bool { return p.SYN && p.Ack > 0 }

func (p *Packet) key() state.FlowKey {
	return state.FlowKey{Protocol: state.TCP, Caller: p.Client, Service: p.Service}
}

// Action is what to send for a verdict.
type Action uint8

const (
	// ActionDrop sends nothing.
	ActionDrop Action = iota
	// ActionForward sends the packet to the target.
	ActionForward
	// ActionReset sends a RST to the client.
	ActionReset
)

// Reason states why a verdict was reached. Its value appears in logs and metrics.
type Reason string

const (
	ReasonEstablished Reason = "established"
	// ReasonPlaced forwards a new SYN.
	ReasonPlaced Reason = "placed"
	// ReasonAlreadyOpen drops a copy of the SYN of an open flow.
	ReasonAlreadyOpen Reason = "already_open"
	// ReasonRetried is a SYN that was forwarded before: its attempt timed out or the
	// client retransmitted it.
	ReasonRetried  Reason = "offered_again"
	ReasonNotReady Reason = "not_ready"
	// ReasonNoRoute resets a new flow to an address without a route.
	ReasonNoRoute Reason = "no_route"
	// ReasonRouteUnknown drops a packet of a flow that another host may have opened, to an
	// address without a route here: a newer configuration may have one.
	ReasonRouteUnknown Reason = "route_unknown"
	// ReasonRouteRemoved resets an open flow whose route the configuration no longer has.
	ReasonRouteRemoved Reason = "route_removed"
	ReasonNoTarget     Reason = "no_target"
	// ReasonDomainDrained resets a new flow because the operator drains the failure domains
	// of all targets that could take it.
	ReasonDomainDrained Reason = "domain_drained"
	// ReasonUnreachable resets a new flow because the host reaches no target outside of the
	// drained failure domains.
	ReasonUnreachable Reason = "unreachable"
	// ReasonSlowStart resets a new flow because all targets that could take it are in their
	// slow start and this host has no share left.
	ReasonSlowStart Reason = "slow_start"
	// ReasonOverloaded resets a new flow because the targets have a standing queue.
	ReasonOverloaded Reason = "overloaded"
	// ReasonUnknownCookie drops a packet whose target is not known here but may be known
	// to other hosts.
	ReasonUnknownCookie Reason = "unknown_cookie"
	// ReasonTargetUnknown resets a flow whose cookie belongs to no running target.
	ReasonTargetUnknown Reason = "target_unknown"
	// ReasonTargetSilent resets a flow whose target is down.
	ReasonTargetSilent Reason = "target_silent"
	// ReasonTargetRestarted forwards a packet without data again, to a target that has
	// restarted, of a flow that awaits its answer.
	ReasonTargetRestarted Reason = "target_restarted"
)

// Verdict is the decision about one packet, or about a flow whose timer expired.
type Verdict struct {
	Action Action
	Reason Reason
	// Target is set for ActionForward.
	Target *catalog.Target
	// SYN is set if the packet opens a flow. The target's cookie must be written into it.
	SYN bool
	// Client and Service name the flow of a SYN or a reset; Seq belongs to a
	// reset.
	Client  netip.AddrPort
	Service netip.AddrPort
	Seq     uint32
	// Raw is the packet to send for ActionForward.
	Raw []byte
	// HandshakeTime is the time from the SYN to this packet if it is the first one after
	// the handshake, 0 otherwise.
	HandshakeTime time.Duration
	// Evidence is what a decision about a SYN or a reset rests on.
	Evidence Evidence
}

// Evidence is the state of the target that a decision rests on, for logs.
type Evidence struct {
	// Target is the name of the target that was decided about.
	Target string
	// Age is the time since the target's last answer where a SYN is forwarded, and since
	// its last failed check where a flow is reset.
	Age time.Duration
	// Waiting is the number of the target's flows that await an answer to a request, Open
	// that of its open flows, both as seen by this host.
	Waiting int
	Open    int
}

// HealthChange is a target that went down or came back up.
type HealthChange struct {
	ID     catalog.TargetID
	Target string
	Domain state.DomainID
	// Down reports whether the target stopped answering; false means that it answers
	// again.
	Down bool
	// Missed is the number of consecutive SYNs and retransmissions without an answer.
	Missed int
	// Silence is the time from the target's last answer to the change.
	Silence time.Duration
	// Report is set if other hosts should be told: the target is down and the targets are
	// not overloaded, in which case a healthy one may accept no connection.
	Report bool
}

// Check is a request to test whether a target accepts connections. A SYN or data
// without an answer is a hint only, since datagrams get lost; a connection that can't
// be made is evidence.
type Check struct {
	Target  catalog.TargetID
	Address netip.AddrPort
	// ExpectedName is the name that the target must report; empty accepts any. A target
	// that failed a check may have ended and its address may belong to another by now.
	ExpectedName string
	// HealthPath is the HTTP path where a target reports its name.
	HealthPath string
	// Witnesses are addresses of the targets that answered most recently, one in the local
	// failure domain and one in another where there are any. If they don't answer either,
	// the cause may be this host's link and not the target.
	Witnesses []netip.AddrPort
}

// CheckOutcome is the result of a check.
type CheckOutcome uint8

const (
	// CheckPassed means that the target answered.
	CheckPassed CheckOutcome = iota
	// CheckInconclusive means that the check was not made, or that the host was held up
	// meanwhile. It shows nothing.
	CheckInconclusive
	// CheckRefused means that the target refused the connection or that its address
	// belongs to another target.
	CheckRefused
	// CheckTimedOut means that the target did not answer while a witness did. The target
	// has ended, or is too busy to accept a connection.
	CheckTimedOut
	// CheckAllTimedOut means that neither the target nor a witness answered: the host may
	// be isolated, or its own link delays its packets.
	CheckAllTimedOut
)
