// Package traffic decides what happens to each packet. It keeps the flow
// records, places new flows on targets and relays packets to the hosts that own
// their flows. Time, the snapshot and the random source are passed in, and
// decisions are returned: the package does no I/O and starts no goroutine.
//
// Each flow has an owner pair. The first owner keeps the flow's record and
// forwards its packets; the second owner holds a copy of the record and takes
// over if the first one fails. A new verdict is tentative until the second
// owner has seen it. The caller is the client end of a flow.
package traffic

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// PacketKind is what a packet means to its flow.
type PacketKind uint8

// Packet kinds.
const (
	// KindSYN is a TCP SYN, which opens a flow.
	KindSYN PacketKind = iota
	// KindData is any other TCP packet with ACK. It shows that the flow is open.
	KindData
	// KindFIN is a TCP packet with FIN.
	KindFIN
	// KindRST is a TCP packet with RST.
	KindRST
	// KindDatagram is a UDP packet, which may open a flow.
	KindDatagram
)

// Packet holds what decisions need to know of an arriving packet.
type Packet struct {
	Key         state.FlowKey
	Fingerprint state.Fingerprint
	Kind        PacketKind
	// Size is the length of the IP packet in bytes.
	Size int
	// PayloadSize is the length of the transport payload in bytes.
	PayloadSize int
	// Progress changes whenever the caller sends or acknowledges something new; a
	// repeated value marks a retransmission.
	Progress uint64
	// Relayed reports whether the packet came from another host: From sent it with
	// the header Relay.
	Relayed bool
	From    state.HostID
	Relay   relay.Header
}

// Action is what is done with a packet.
type Action uint8

// Actions.
const (
	// ActionDrop discards the packet and counts Reason.
	ActionDrop Action = iota
	// ActionForward sends the packet to the target's address.
	ActionForward
	// ActionRelay sends the packet with the relay header to a host.
	ActionRelay
	// ActionRefuse answers the caller with a RST or an ICMP unreachable, and with
	// RetryAfter.
	ActionRefuse
	// ActionReset answers the caller of a silent flow with a RST.
	ActionReset
)

// RecordMessage is a message about a flow record to another host. It carries no
// packet.
type RecordMessage struct {
	To     state.HostID
	Header relay.Header
}

// MaxRecordMessages is the largest number of record messages that one packet
// causes.
const MaxRecordMessages = 3

// Decision is the outcome of one packet.
type Decision struct {
	Action Action
	Reason Reason
	// Target is set for ActionForward.
	Target *state.TargetEntry
	// To and Header are set for ActionRelay.
	To     state.HostID
	Header relay.Header
	// RetryAfter is the time after which a refused caller may try again.
	RetryAfter time.Duration
	// Messages[:MessageCount] are the record messages to send in addition.
	Messages     [MaxRecordMessages]RecordMessage
	MessageCount int
}

// Reason says why a packet was dropped, refused, relayed or reset. Each reason
// has a counter; reason.go lists them with their names.
type Reason uint8
