// Package traffic decides what happens to each packet: it owns the flow
// records, places new flows on targets and relays what another host owns.
// It is pure: time, the snapshot and the random source are passed in, and
// decisions are returned. It does no I/O and starts no goroutine.
package traffic

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// PacketKind is the part that a packet plays in its flow.
type PacketKind uint8

// Packet kinds. UDP packets are KindDatagram, which may open a flow.
const (
	KindSYN PacketKind = iota
	KindData
	KindFIN
	KindRST
	KindDatagram
)

// Packet is an arriving packet, stripped to what decisions need.
type Packet struct {
	Key         state.FlowKey
	Fingerprint state.Fingerprint
	Kind        PacketKind
	// Size is the length of the IP packet in bytes.
	Size int
	// PayloadSize is the length of the transport payload in bytes.
	PayloadSize int
	// Progress changes whenever the caller sends something new or acknowledges
	// something new; a repeated value marks a retransmission.
	Progress uint64
	// Relayed is true for packets from another entry host: From sent it with the
	// header Relay.
	Relayed bool
	From    state.HostID
	Relay   relay.Header
}

// Action is what the edge does with a packet.
type Action uint8

// Verbs.
const (
	// ActionDrop discards the packet and counts Reason.
	ActionDrop Action = iota
	// ActionForward sends the packet to the target's address.
	ActionForward
	// ActionRelay sends the packet with the relay header to a host.
	ActionRelay
	// ActionRefuse answers the caller: RST, or ICMP unreachable, with RetryAfter.
	ActionRefuse
	// ActionReset answers the caller of a silent flow with a RST.
	ActionReset
)

// RecordMessage is a record message to another host, without a packet.
type RecordMessage struct {
	To     state.HostID
	Header relay.Header
}

// MaxRecordMessages bounds the notices that one packet causes.
const MaxRecordMessages = 3

// Decision is the outcome of one packet.
type Decision struct {
	Action Action
	Reason Reason
	// Target is set for VerbForward.
	Target *state.TargetEntry
	// To and Header are set for VerbRelay.
	To     state.HostID
	Header relay.Header
	// RetryAfter tells a refused caller when to come back.
	RetryAfter time.Duration
	// Messages[:NoticeCount] are to be sent besides.
	Messages     [MaxRecordMessages]RecordMessage
	MessageCount int
}

// Reason names why a packet was dropped, refused, relayed or reset; one
// expvar counter exists for each. The names are in reason.go.
type Reason uint8
