// Package objects defines the calls of the platform's object store that this system
// uses, and the objects that the system stores there. Package platformapi maps the
// calls to HTTP requests.
package objects

import (
	"encoding/json"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// MaxValueSize is the maximum size of an object's value in bytes.
const MaxValueSize = 1 << 20

// Object is one stored object.
type Object struct {
	Key string `json:"key"`
	// Version is the number of writes of this object, counted from 1.
	Version uint64 `json:"version"`
	// Revision is the store's revision at the last write.
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
	// Deleted marks a deleted object, in watches of stores that report deletions.
	Deleted bool `json:"deleted,omitempty"`
}

// Era counts how often the store was restored from a backup: revisions of two eras can't
// be compared. 0 means that the era is unknown.
type Era uint64

// Page is the result of a list or a watch.
type Page struct {
	// Revision is the store's revision that the page is current up to.
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
	// More reports whether a list continues after the page's last object.
	More bool `json:"more,omitempty"`
}

// Verb is the kind of a call.
type Verb uint8

const (
	VerbGet Verb = iota
	VerbPut
	VerbList
	VerbWatch
)

// Call is one request to the platform.
type Call struct {
	Verb Verb
	// Key is the object's key; for VerbList and VerbWatch it is the key prefix.
	Key string
	// Version is the version that VerbPut expects the object to have; 0 creates the
	// object.
	Version uint64
	Value   json.RawMessage
	// After and Wait are the arguments of VerbWatch: the revision to report changes
	// after, and the longest time to wait for a change.
	After uint64
	Wait  time.Duration
	// From is the key after which VerbList continues, for stores that return lists in
	// pages.
	From string
	// Era is the era in which After was read. Other hosts need it, the store does not.
	Era Era
}

// Result classifies the outcome of a call.
type Result uint8

const (
	// ResultOK means the call succeeded; Outcome has its Object or Page.
	ResultOK Result = iota
	// ResultAbsent means there is no such object.
	ResultAbsent
	// ResultConflict means the condition of VerbPut failed; Outcome.Object is the
	// current object.
	ResultConflict
	// ResultRefused means the call was not executed: rate limit, open circuit breaker,
	// exhausted retry budget or invalid request. Outcome.RetryAfter is the time to
	// wait before the next attempt.
	ResultRefused
	// ResultUnknown means no response was received: the call may have been executed.
	ResultUnknown
	// ResultExpired means the store no longer has the history that a watch asked for;
	// the caller must read a list instead.
	ResultExpired
)

// String returns the name of the result, as logs and metrics show it.
func (r Result) String() string {
	names := [...]string{"ok", "absent", "conflict", "refused", "no answer", "history gone"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown result"
}

// Outcome is the result of a Call with its data.
type Outcome struct {
	Result Result
	Object Object
	Page   Page
	// Era is the store's era at the answer.
	Era        Era
	RetryAfter time.Duration
}

// Keys and key prefixes of the system's objects.
const (
	// KeyHead is the key of the release head, whose update commits a decision: see
	// Head.
	KeyHead = "release/head"
	// PrefixNotes is followed by a note ID: see Note.
	PrefixNotes = "release/notes/"
	// PrefixStaged is followed by "<note ID>/<domain>": see Staged.
	PrefixStaged = "release/staged/"
	// PrefixInForce is followed by a domain: see InForce.
	PrefixInForce = "release/inforce/"
	// PrefixCheckpoints is followed by "<version>/<part>": see Checkpoint.
	PrefixCheckpoints = "release/checkpoints/"
	// KeyHosts is the key of the platform's list of hosts: see HostList.
	KeyHosts = "platform/hosts"
	// KeyLoads is the key of the platform's target health and load: see LoadList.
	KeyLoads = "platform/loads"
)

// NoteState is the state of a release note.
type NoteState string

const (
	NoteSubmitted NoteState = "submitted"
	NoteStaged    NoteState = "staged"
	NoteAccepted  NoteState = "accepted"
	NoteInForce   NoteState = "in force"
	NoteRefused   NoteState = "refused"
)

// Head is the single object whose conditional update accepts or refuses a note. At
// most one note is pending at a time, so each note is decided exactly once.
type Head struct {
	// Version is the newest accepted release.
	Version state.ReleaseVersion `json:"version"`
	// Accepted is the note that produced the newest accepted release.
	Accepted state.NoteID `json:"accepted"`
	// Checkpoint is the version of the newest complete checkpoint, 0 for none.
	Checkpoint state.ReleaseVersion `json:"checkpoint"`
	// Pending is the note being staged, nil for none.
	Pending *Pending `json:"pending,omitempty"`
	// Decided holds the retained decisions, newest first: see MaxDecided.
	Decided []Decision `json:"decided"`
}

// MaxDecided is the maximum length of Head.Decided. Decisions that accepted a note
// since the newest checkpoint are retained beyond it.
const MaxDecided = 64

// Pending is a note that is being staged.
type Pending struct {
	Note NoteRef `json:"note"`
	// Deadline is the time at which the note is refused if it is not staged.
	Deadline time.Time `json:"deadline"`
	// Without lists the failure domains that the note does not wait for.
	Without []state.DomainID `json:"without,omitempty"`
}

// NoteRef identifies a note and the release version that it produces.
type NoteRef struct {
	ID      state.NoteID         `json:"id"`
	Version state.ReleaseVersion `json:"version"`
}

// Decision records that a note was accepted or refused.
type Decision struct {
	Note NoteRef `json:"note"`
	// State is NoteAccepted or NoteRefused.
	State  NoteState `json:"state"`
	Reason string    `json:"reason,omitempty"`
	At     time.Time `json:"at"`
	// Without lists the failure domains that the note did not wait for.
	Without []state.DomainID `json:"without,omitempty"`
}

// Note is a release note as stored. It is immutable once created.
type Note struct {
	ID state.NoteID `json:"id"`
	// Content is the decoded note.
	Content   state.Note `json:"content"`
	Submitted time.Time  `json:"submitted"`
}

// Staged reports whether one failure domain staged a pending note.
type Staged struct {
	Note   NoteRef        `json:"note"`
	Domain state.DomainID `json:"domain"`
	OK     bool           `json:"ok"`
	Reason string         `json:"reason,omitempty"`
	// Hosts is the number of the domain's hosts that staged the note.
	Hosts int `json:"hosts"`
}

// InForce reports which release is in force in one failure domain.
type InForce struct {
	Domain state.DomainID `json:"domain"`
	// Version is the oldest release that a host of the domain has in force.
	Version state.ReleaseVersion `json:"version"`
	Since   time.Time            `json:"since"`
	// Hosts is the number of hosts that are not behind.
	Hosts int `json:"hosts"`
	// Behind lists the alive hosts that still have an older version.
	Behind []state.HostID `json:"behind,omitempty"`
}

// Checkpoint is one part of a complete release, which is split by services so that each
// part fits into an object.
type Checkpoint struct {
	Version state.ReleaseVersion `json:"version"`
	Part    int                  `json:"part"`
	Parts   int                  `json:"parts"`
	Release state.Release        `json:"release"`
}

// HostList is the platform's list of entry hosts. It may be out of date.
type HostList struct {
	Hosts []ListedHost `json:"hosts"`
}

// ListedHost is an entry of the host list.
type ListedHost struct {
	state.Host
	Leaving bool `json:"leaving"`
}

// LoadList is the platform's list of target health and load. It may be out of date.
type LoadList struct {
	Loads []TargetLoad `json:"loads"`
}

// TargetLoad is the health and load that a target reports about itself.
type TargetLoad struct {
	Target  state.TargetID `json:"target"`
	Healthy bool           `json:"healthy"`
	// Draining reports whether the target asks to be drained.
	Draining bool `json:"draining"`
	// Load is the used fraction of the target's capacity, 0 to 1.
	Load float64   `json:"load"`
	At   time.Time `json:"at"`
}
