// Package relay defines the header of the UDP datagrams between entry hosts. Each
// datagram carries one relayed packet or one message about a flow record.
//
// A datagram is a fixed 32-byte header, big-endian, followed by the body:
//
//	0      version, 0x01 (never 4 or 6 in the high nibble, so never an IP packet)
//	1      kind
//	2      number of hops made
//	3      position: with KindPacket the next place in the search order for a
//	       flow record, 0 before a search; with KindOpening 2 for a verdict that
//	       is sent to the flow's former owner, 3 for one that the former owner
//	       returns, else 0
//	4..7   target number of the verdict, 0 for none
//	8..11  service number
//	12     verdict
//	13     refusal reason, or flags about the flow with VerdictForward
//	14..15 retry-after in units of 10 ms
//	16..31 flow fingerprint
//
// The body is the client's IP packet with KindOpening and KindPacket, and empty
// with KindConfirm and KindRecord.
package relay

import "github.com/guavawharf/guavawharf/internal/state"

// Sizes and limits.
const (
	Version    = 0x01
	HeaderSize = 32
	MaxHops    = 8
)

// Kind is the kind of a datagram.
type Kind uint8

// Kinds.
const (
	// KindOpening carries a packet with the verdict of the owner that sends it.
	KindOpening Kind = 1
	// KindPacket carries a packet to its flow's owner or to another host that may
	// hold the flow's record.
	KindPacket Kind = 2
	// KindConfirm sends an owner the verdict that another owner holds.
	KindConfirm Kind = 3
	// KindRecord sends a copy of a flow record to an owner that should hold one.
	KindRecord Kind = 4
)

// Verdict is the decision on how to handle a flow.
type Verdict uint8

// Verdicts.
const (
	VerdictNone    Verdict = 0
	VerdictForward Verdict = 1
	VerdictRefuse  Verdict = 2
)

// Header is a decoded datagram header. RetryAfter is in units of 10 ms.
type Header struct {
	Kind        Kind
	Hops        uint8
	Position    uint8
	Target      state.TargetNumber
	Service     state.ServiceNumber
	Verdict     Verdict
	Reason      uint8
	RetryAfter  uint16
	Fingerprint state.Fingerprint
}
