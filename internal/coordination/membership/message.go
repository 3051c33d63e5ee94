package membership

import (
	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Entry is one host as the sender of a message believes it.
type Entry struct {
	// Host has its addresses only while Status is HostAlive.
	Host state.Host
	// Status is HostAlive, HostSuspect or HostDead; Leaving stands apart so that
	// suspicion does not hide it.
	Status      state.HostStatus
	Leaving     bool
	Incarnation uint64
	Version     state.ReleaseVersion
	// By is the host that raised a suspicion.
	By state.HostID
}

// Digest sums up one failure domain.
type Digest struct {
	Domain state.DomainID
	// Hosts counts the hosts that are not dead.
	Hosts int
	// Oldest and Newest are the lowest and highest release version of its hosts.
	Oldest state.ReleaseVersion
	Newest state.ReleaseVersion
	// Stamp orders digests of one domain: Unix time in milliseconds.
	Stamp int64
}

// Gossip is what every message carries besides its purpose.
type Gossip struct {
	// Incarnation, Leaving and Version describe the sender.
	Incarnation uint64
	Leaving     bool
	// Gone tells that the sender has left and serves nothing any more.
	Gone    bool
	Version state.ReleaseVersion
	Entries []Entry
	// Digest is the sender's own domain when the receiver is in another one, and
	// else that of some other domain.
	Digest Digest
}

// Probe asks the receiver to answer with an Ack.
type Probe struct {
	Seq    uint64
	Gossip Gossip
}

// Ack answers a Probe, or tells the origin of an IndirectProbe that Subject
// answered.
type Ack struct {
	Seq     uint64
	Subject state.HostID
	Gossip  Gossip
}

// IndirectProbe asks the receiver to probe Target for the sender.
type IndirectProbe struct {
	Seq    uint64
	Target state.Host
	Gossip Gossip
}

// SyncRequest asks for the entries whose host ID sorts after After.
type SyncRequest struct {
	After  state.HostID
	Gossip Gossip
}

// SyncReply is one page of entries. Last tells that no more follow.
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
