// Package objects defines the platform's object API as this system uses it,
// and the objects that the system keeps there. Package platformapi binds it to
// HTTP.
package objects

import (
	"encoding/json"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// MaxValueSize is the largest object value in bytes.
const MaxValueSize = 1 << 20

// Object is one stored object.
type Object struct {
	Key string `json:"key"`
	// Version counts the writes of this object, from 1.
	Version uint64 `json:"version"`
	// Revision is the store's revision at the last write.
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
	// Deleted objects appear in watches of bindings that tell of deletions.
	Deleted bool `json:"deleted,omitempty"`
}

// Page is the answer of a list or a watch.
type Page struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
	// More tells that a list goes on after its last object.
	More bool `json:"more,omitempty"`
}

// Verb is the kind of a call.
type Verb uint8

// Verbs.
const (
	VerbGet Verb = iota
	VerbPut
	VerbList
	VerbWatch
)

// Call is one request to the platform.
type Call struct {
	Verb Verb
	// Key is the key, or the prefix for VerbList and VerbWatch.
	Key string
	// Version is the condition of VerbPut; 0 creates.
	Version uint64
	Value   json.RawMessage
	// After and Wait belong to VerbWatch.
	After uint64
	Wait  time.Duration
	// From is the key after which a VerbList of a binding with pages goes on.
	From string
	// Stale allows a read to be answered from old data, where the binding has
	// such reads.
	Stale bool
}

// Result classifies the outcome of a call.
type Result uint8

// Results.
const (
	// ResultOK carries Object or Page.
	ResultOK Result = iota
	// ResultAbsent means no such object.
	ResultAbsent
	// ResultConflict means the condition failed; Object is the current one.
	ResultConflict
	// ResultRefused means the call was not run: rate limit, open circuit, no
	// retry budget or an invalid request. RetryAfter tells when to come back.
	ResultRefused
	// ResultUnknown means no answer came: the call may have run.
	ResultUnknown
	// ResultExpired means that the history asked for by a watch is gone; a list
	// has to be read instead.
	ResultExpired
)

// String returns the result in words.
func (r Result) String() string {
	names := [...]string{"ok", "absent", "conflict", "refused", "no answer", "history gone"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown result"
}

// Outcome is the answer to a Call.
type Outcome struct {
	Result     Result
	Object     Object
	Page       Page
	RetryAfter time.Duration
}

// Keys of the system's objects.
const (
	// KeyHead is the commit point: see Head.
	KeyHead = "release/head"
	// PrefixNotes precedes a note id: see Note.
	PrefixNotes = "release/notes/"
	// PrefixStaged precedes "<note id>/<domain>": see Staged.
	PrefixStaged = "release/staged/"
	// PrefixInForce precedes a domain: see InForce.
	PrefixInForce = "release/inforce/"
	// PrefixCheckpoints precedes "<version>/<part>": see Checkpoint.
	PrefixCheckpoints = "release/checkpoints/"
	// KeyHosts is the platform's own list of hosts: see HostList.
	KeyHosts = "platform/hosts"
	// KeyLoads is the platform's own target health and load: see LoadList.
	KeyLoads = "platform/loads"
)

// NoteState is the state of a release note.
type NoteState string

// Note states.
const (
	NoteSubmitted NoteState = "submitted"
	NoteStaged    NoteState = "staged"
	NoteAccepted  NoteState = "accepted"
	NoteInForce   NoteState = "in force"
	NoteRefused   NoteState = "refused"
)

// Head is the one object whose conditional update accepts or refuses a note.
// At most one note is pending at a time, so a note's fate is decided once.
type Head struct {
	// Version is the newest accepted release.
	Version state.ReleaseVersion `json:"version"`
	// Accepted is the note that made it.
	Accepted state.NoteID `json:"accepted"`
	// Checkpoint is the version of the newest complete checkpoint, 0 for none.
	Checkpoint state.ReleaseVersion `json:"checkpoint"`
	// Pending is the note being staged, nil for none.
	Pending *Pending `json:"pending,omitempty"`
	// Decided holds the newest decisions, newest first.
	Decided []Decision `json:"decided"`
}

// MaxDecided bounds Head.Decided.
const MaxDecided = 64

// Pending is a note that is being staged.
type Pending struct {
	Note NoteRef `json:"note"`
	// Deadline is when an unstaged note is refused.
	Deadline time.Time `json:"deadline"`
	// Without lists the domains that the note goes ahead without.
	Without []state.DomainID `json:"without,omitempty"`
}

// NoteRef names a note and the version it makes.
type NoteRef struct {
	ID      state.NoteID         `json:"id"`
	Version state.ReleaseVersion `json:"version"`
}

// Decision records the fate of a note.
type Decision struct {
	Note NoteRef `json:"note"`
	// State is NoteAccepted or NoteRefused.
	State  NoteState `json:"state"`
	Reason string    `json:"reason,omitempty"`
	At     time.Time `json:"at"`
	// Without lists the domains that the note went ahead without.
	Without []state.DomainID `json:"without,omitempty"`
}

// Note is a release note as stored; immutable once created.
type Note struct {
	ID state.NoteID `json:"id"`
	// Content is the decoded note.
	Content   state.Note `json:"content"`
	Submitted time.Time  `json:"submitted"`
}

// Staged is one domain's answer about a pending note.
type Staged struct {
	Note   NoteRef        `json:"note"`
	Domain state.DomainID `json:"domain"`
	OK     bool           `json:"ok"`
	Reason string         `json:"reason,omitempty"`
	Hosts  int            `json:"hosts"`
}

// InForce is what is in force in one domain.
type InForce struct {
	Domain  state.DomainID       `json:"domain"`
	Version state.ReleaseVersion `json:"version"`
	Since   time.Time            `json:"since"`
	Hosts   int                  `json:"hosts"`
	// Behind lists alive hosts that have an older version.
	Behind []state.HostID `json:"behind,omitempty"`
}

// Checkpoint is one part of a complete release.
type Checkpoint struct {
	Version state.ReleaseVersion `json:"version"`
	Part    int                  `json:"part"`
	Parts   int                  `json:"parts"`
	Release state.Release        `json:"release"`
}

// HostList is the platform's lagging list of entry hosts.
type HostList struct {
	Hosts []ListedHost `json:"hosts"`
}

// ListedHost is an entry of the host list.
type ListedHost struct {
	state.Host
	Leaving bool `json:"leaving"`
}

// LoadList is the platform's lagging view of targets.
type LoadList struct {
	Loads []TargetLoad `json:"loads"`
}

// TargetLoad is a target's own report.
type TargetLoad struct {
	Target  state.TargetID `json:"target"`
	Healthy bool           `json:"healthy"`
	// Draining is the target's own drain signal.
	Draining bool `json:"draining"`
	// Load is the used share of its capacity, 0 to 1.
	Load float64   `json:"load"`
	At   time.Time `json:"at"`
}
