package release

import (
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Digest is a digest of what the sender knows about releases.
type Digest struct {
	Head HeadDigest
	// Running is the release in force on the sender, 0 for none.
	Running state.ReleaseVersion
	// HoldsPending tells that the sender holds the pending note's content.
	HoldsPending bool
	// PlatformAge is the time since the platform was last heard by anyone whose
	// news reached the sender; negative for never.
	PlatformAge time.Duration
}

// HeadDigest is the head object without its past decisions.
type HeadDigest struct {
	// ObjectVersion is the version of the head object; higher is newer.
	ObjectVersion uint64
	Version       state.ReleaseVersion
	Accepted      state.NoteID
	// Without lists the domains that the accepted note went ahead without.
	Without []state.DomainID
	Pending *objects.Pending
}

// FetchRequest requests a note, and whatever makes releases newer than Have.
type FetchRequest struct {
	Have state.ReleaseVersion
	// Note is a wanted note; empty for none.
	Note state.NoteID
}

// FetchReply answers Ask.
type FetchReply struct {
	// Note is the note asked for, nil when the sender lacks it.
	Note *objects.Note
	// Accepted holds the accepted notes after Ask.Have, oldest first.
	Accepted []objects.Note
	// Release is sent in place of Accepted by a sender that lacks some.
	Release *state.Release
}

// StagingReport is one host's answer about the pending note, to the watchers of
// its domain.
type StagingReport struct {
	Note   objects.NoteRef
	OK     bool
	Reason string
}

// InForceReport tells the watchers of a domain what is in force on the sender.
type InForceReport struct{ Version state.ReleaseVersion }

// StatusWriteRequest asks a host of another domain to write a status object for a
// domain that cannot reach the platform. Exactly one field is set.
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
