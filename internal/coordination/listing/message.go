package listing

import (
	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Digest holds the revisions of the newest lists that the sender holds.
type Digest struct {
	HostsRevision uint64
	LoadsRevision uint64
}

// HostsUpdate carries the platform's list of hosts.
type HostsUpdate struct {
	Revision uint64
	List     objects.HostList
}

// LoadsUpdate carries the platform's list of target health and load.
type LoadsUpdate struct {
	Revision uint64
	List     objects.LoadList
}

// ControlMessage marks the type as a message.
func (Digest) ControlMessage() {}

// ControlMessage marks the type as a message.
func (HostsUpdate) ControlMessage() {}

// ControlMessage marks the type as a message.
func (LoadsUpdate) ControlMessage() {}

// Messages returns this package's message types with their names on the wire.
func Messages() []message.Registration {
	return []message.Registration{
		{Name: "listing.Digest", Message: Digest{}},
		{Name: "listing.HostsNews", Message: HostsUpdate{}},
		{Name: "listing.LoadsNews", Message: LoadsUpdate{}},
	}
}

// Handles reports whether the message belongs to this package.
func Handles(received message.Message) bool {
	switch received.(type) {
	case Digest, HostsUpdate, LoadsUpdate:
		return true
	}
	return false
}
