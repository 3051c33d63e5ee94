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
	// IsRecord tells that the datagram is a record message, whose header is
	// Packet.Relay.
	IsRecord bool

	customerLane customerLane
	data         [relay.HeaderSize + MaxPacketSize]byte
	size         int
}

// cost is what the job takes from its lane's share, in bytes.
func (j *Job) cost() int { return relay.HeaderSize + j.size }

// packet returns the IP packet.
func (j *Job) packet() []byte {
	return j.data[relay.HeaderSize : relay.HeaderSize+j.size]
}

// datagram returns the relay header's place and the packet.
func (j *Job) datagram() []byte {
	return j.data[:relay.HeaderSize+j.size]
}

// fabricBuffer is a job that a datagram from the fabric is read into.
type fabricBuffer struct{ job *Job }

// Bytes returns the space after the relay header.
func (s fabricBuffer) Bytes() []byte { return s.job.data[relay.HeaderSize:] }

// relayBuffer is a job that a datagram from another entry host is read into.
type relayBuffer struct{ job *Job }

// Bytes returns the whole space, which begins with the relay header.
func (s relayBuffer) Bytes() []byte { return s.job.data[:] }
