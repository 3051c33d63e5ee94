// Package workers runs the packet path: it reads datagrams, assigns each to the
// shard of its flow, and lets one worker at a time decide and send for a shard.
// Workers read the newest snapshot and never wait for control.
package workers

import (
	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
)

// MaxPacketSize is the longest accepted IP packet in bytes.
const MaxPacketSize = 2048

// Job is one received datagram. Its memory has room for a relay header before
// the packet, so that a packet is relayed without a copy.
type Job struct {
	// Packet is set for callers' packets.
	Packet traffic.Packet
	// Record tells that the datagram is a record message, whose header is
	// Packet.Relay.
	Record bool

	lane lane
	data [relay.HeaderSize + MaxPacketSize]byte
	size int
}

// cost is what the job takes from its lane's share, in bytes.
func (j *Job) cost() int { return relay.HeaderSize + j.size }

// packet returns the IP packet.
func (j *Job) packet() []byte {
	return j.data[relay.HeaderSize : relay.HeaderSize+j.size]
}

// withHeader returns the relay header's place and the packet.
func (j *Job) withHeader() []byte {
	return j.data[:relay.HeaderSize+j.size]
}

// fabricSlot is a job that a datagram from the fabric is read into.
type fabricSlot struct{ job *Job }

// Bytes returns the space after the relay header.
func (s fabricSlot) Bytes() []byte { return s.job.data[relay.HeaderSize:] }

// relaySlot is a job that a datagram from another entry host is read into.
type relaySlot struct{ job *Job }

// Bytes returns the whole space, which begins with the relay header.
func (s relaySlot) Bytes() []byte { return s.job.data[:] }
