package membership

import (
	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Entry is the status of one host as the sender of a message sees it.
type Entry struct {
	// Host contains addresses only if Status is HostAlive.
	Host state.Host
	// Status is HostAlive, HostSuspect or HostDead. Leaving is a separate field so
	// that a suspicion does not hide it.
	Status      state.HostStatus
	Leaving     bool
	Incarnation uint64
	Version     state.ReleaseVersion
	// By is the host that suspects Host, if Status is HostSuspect.
	By state.HostID
}

// Digest summarizes one failure domain.
type Digest struct {
	Domain state.DomainID
	// Hosts counts the hosts that are not dead.
	Hosts int
	// Oldest and Newest are the lowest and highest release versions of these hosts.
	Oldest state.ReleaseVersion
	Newest state.ReleaseVersion
	// Stamp is the Unix time in milliseconds at which the digest was made. It orders
	// the digests of one domain.
	Stamp int64
}

// Gossip is the membership state that is piggybacked on every message.
type Gossip struct {
	// Incarnation, Leaving and Version describe the sender.
	Incarnation uint64
	Leaving     bool
	// Gone reports whether the sender has left the cluster and serves no traffic.
	Gone    bool
	Version state.ReleaseVersion
	Entries []Entry
	// Digest describes the sender's domain if the receiver is in another one, and
	// otherwise a domain other than theirs.
	Digest Digest
}

// Probe asks the receiver to answer with an Ack.
type Probe struct {
	Seq    uint64
	Gossip Gossip
}

// Ack answers a Probe, or reports to the sender of an IndirectProbe that Subject
// answered.
type Ack struct {
	Seq     uint64
	Subject state.HostID
	Gossip  Gossip
}

// IndirectProbe asks the receiver to probe Target on the sender's behalf.
type IndirectProbe struct {
	Seq    uint64
	Target state.Host
	Gossip Gossip
}

// SyncRequest asks for a page of the entries whose host IDs sort after After.
type SyncRequest struct {
	After  state.HostID
	Gossip Gossip
}

// SyncReply is one page of entries. Last marks the final page.
type SyncReply struct {
	After   state.HostID
	Last    bool
	Entries []Entry
	Gossip  Gossip
}

// ControlMessage marks the type as a message.
func (Probe) ControlMessage() {}

// ControlMessage marks the type as a message.
func (Ack) ControlMessage() {}

// ControlMessage marks the type as a message.
func (IndirectProbe) ControlMessage() {}

// ControlMessage marks the type as a message.
func (SyncRequest) ControlMessage() {}

// ControlMessage marks the type as a message.
func (SyncReply) ControlMessage() {}

// Messages returns this package's message types with their names on the wire.
func Messages() []message.Registration {
	return []message.Registration{
		{Name: "membership.Probe", Message: Probe{}},
		{Name: "membership.Ack", Message: Ack{}},
		{Name: "membership.IndirectProbe", Message: IndirectProbe{}},
		{Name: "membership.SyncRequest", Message: SyncRequest{}},
		{Name: "membership.SyncReply", Message: SyncReply{}},
	}
}
