// Package relay defines the header between entry hosts: relayed packets and
// messages about flow records, each one UDP datagram.
//
// A datagram is a fixed 32-byte header, big-endian, followed by the body:
//
//	0      version, 0x01 (never 4 or 6 in the high nibble, so never an IP packet)
//	1      kind
//	2      hops so far
//	3      position of the receiver: in the search for a record, or the part
//	       that an owner plays for a verdict
//	4..7   target number of the verdict, 0 for none
//	8..11  service number
//	12     verdict
//	13     refusal reason, or the state of the flow with VerdictForward
//	14..15 retry-after in units of 10 ms
//	16..31 flow fingerprint
//
// The body is the caller's IP packet for packet kinds and empty for record kinds.
package relay

import "github.com/guavawharf/guavawharf/internal/state"

// Sizes and limits.
const (
	Version    = 0x01
	HeaderSize = 32
	MaxHops    = 8
)

// Kind tells what a datagram carries.
type Kind uint8

// Kinds.
const (
	// KindOpening carries a packet with the verdict of the first owner.
	KindOpening Kind = 1
	// KindPacket carries a packet looking for its flow's record.
	KindPacket Kind = 2
	// KindConfirm tells an owner the verdict that another owner holds.
	KindConfirm Kind = 3
	// KindRecord copies a record to an owner that should hold it.
	KindRecord Kind = 4
)

// Verdict is the decision about a flow.
type Verdict uint8

// Verdicts.
const (
	VerdictNone    Verdict = 0
	VerdictForward Verdict = 1
	VerdictRefuse  Verdict = 2
)

// Header is the decoded header.
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
