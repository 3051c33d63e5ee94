// Package workers runs the packet path: it reads datagrams, assigns each to the
// shard of its flow, and has at most one worker at a time process a shard's
// packets. Workers read the latest snapshot and never wait for package control.
package workers

import (
	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
)

// MaxPacketSize is the longest accepted IP packet in bytes.
const MaxPacketSize = 2048

// Job is one received datagram. Its buffer reserves space for a relay header in
// front of the packet, so that a packet is relayed without copying it.
type Job struct {
	// Packet is the decoded packet of a caller. For record messages only
	// Fingerprint and Relay are valid.
	Packet traffic.Packet
	// IsRecord is whether the datagram is a record message, whose header is
	// Packet.Relay.
	IsRecord bool

	customerLane customerLane
	data         [relay.HeaderSize + MaxPacketSize]byte
	size         int
}

// cost returns the number of bytes that the job is charged in its fair-queue lane.
func (j *Job) cost() int { return relay.HeaderSize + j.size }

// packet returns the IP packet.
func (j *Job) packet() []byte {
	return j.data[relay.HeaderSize : relay.HeaderSize+j.size]
}

// datagram returns the space for the relay header, followed by the packet.
func (j *Job) datagram() []byte {
	return j.data[:relay.HeaderSize+j.size]
}

// fabricBuffer reads a datagram from the fabric into a job.
type fabricBuffer struct{ job *Job }

// Bytes returns the space after the relay header, where the packet is read.
func (b fabricBuffer) Bytes() []byte { return b.job.data[relay.HeaderSize:] }

// relayBuffer reads a datagram from another entry host into a job.
type relayBuffer struct{ job *Job }

// Bytes returns the whole space, which begins with the relay header.
func (b relayBuffer) Bytes() []byte { return b.job.data[:] }
