package release

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Digest summarizes what the sender knows about releases. Hosts exchange it by
// gossip and fetch what they lack.
type Digest struct {
	Head HeadDigest
	// Running is the release in force on the sender, 0 for none.
	Running state.ReleaseVersion
	// HoldsPending reports whether the sender holds the pending note's content.
	HoldsPending bool
	// PlatformAge is the time since the last answer of the platform to any host
	// whose digest reached the sender, or to the sender; negative for never.
	PlatformAge time.Duration
}

// HeadDigest is the head object without its past decisions.
type HeadDigest struct {
	// ObjectVersion is the version of the head object; a higher one is newer.
	ObjectVersion uint64
	Version       state.ReleaseVersion
	Accepted      state.NoteID
	// Without lists the domains whose staging the accepted note did not wait for.
	Without []state.DomainID
	Pending *objects.Pending
}

// FetchRequest asks for a note and for the releases that are newer than Have.
type FetchRequest struct {
	Have state.ReleaseVersion
	// Note is the requested note; empty for none.
	Note state.NoteID
}

// FetchReply answers a FetchRequest.
type FetchReply struct {
	// Note is the requested note, nil when the sender lacks it.
	Note *objects.Note
	// Accepted holds the accepted notes after FetchRequest.Have, oldest first.
	Accepted []objects.Note
	// Release replaces Accepted when the sender lacks some of these notes or the
	// requester has no release.
	Release *state.Release
}

// StagingReport reports to the watchers of the sender's domain whether the sender
// could stage the pending note.
type StagingReport struct {
	Note   objects.NoteRef
	OK     bool
	Reason string
}

// InForceReport reports to the watchers of the sender's domain which release is
// in force on the sender.
type InForceReport struct{ Version state.ReleaseVersion }

// StatusWriteRequest asks a host of another domain to write a status object on
// behalf of a domain that cannot reach the platform. Exactly one field is set.
type StatusWriteRequest struct {
	Staged  *objects.Staged
	InForce *objects.InForce
}

// ControlMessage marks the type as a message.
func (Digest) ControlMessage() {}

// ControlMessage marks the type as a message.
func (FetchRequest) ControlMessage() {}

// ControlMessage marks the type as a message.
func (FetchReply) ControlMessage() {}

// ControlMessage marks the type as a message.
func (StagingReport) ControlMessage() {}

// ControlMessage marks the type as a message.
func (InForceReport) ControlMessage() {}

// ControlMessage marks the type as a message.
func (StatusWriteRequest) ControlMessage() {}

// Messages returns this package's message types with their names on the wire.
func Messages() []message.Registration {
	return []message.Registration{
		{Name: "release.News", Message: Digest{}},
		{Name: "release.Ask", Message: FetchRequest{}},
		{Name: "release.Content", Message: FetchReply{}},
		{Name: "release.StagedAnswer", Message: StagingReport{}},
		{Name: "release.Applied", Message: InForceReport{}},
		{Name: "release.StatusRelay", Message: StatusWriteRequest{}},
	}
}
