package release

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// noteStore keeps the contents of notes.
type noteStore struct {
	// unapplied holds the pending note and fetched notes that are not applied
	// yet.
	unapplied map[state.NoteID]objects.Note
	// accepted holds the newest applied notes, oldest first, for peers that lack
	// them.
	accepted []objects.Note
}

func newNoteStore() noteStore {
	return noteStore{unapplied: make(map[state.NoteID]objects.Note)}
}

// find returns the note with an ID, nil when it is not kept.
func (s *noteStore) find(id state.NoteID) *objects.Note {
	if note, ok := s.unapplied[id]; ok {
		return &note
	}
	for i := range s.accepted {
		if s.accepted[i].ID == id {
			return &s.accepted[i]
		}
	}
	return nil
}

// markAccepted moves a note to the accepted ones and evicts the oldest beyond
// MaxAcceptedNotes.
func (s *noteStore) markAccepted(id state.NoteID) {
	note := s.find(id)
	if note != nil && !slices.ContainsFunc(s.accepted, func(n objects.Note) bool { return n.ID == id }) {
		s.accepted = append(s.accepted, *note)
	}
	if extra := len(s.accepted) - MaxAcceptedNotes; extra > 0 {
		s.accepted = slices.Delete(s.accepted, 0, extra)
	}
	delete(s.unapplied, id)
}

// pruneRefused drops notes that are neither pending nor needed for a release up
// to the head's: they were refused.
func (s *noteStore) pruneRefused(head HeadDigest) {
	for id := range s.unapplied {
		pending := head.Pending != nil && head.Pending.Note.ID == id
		if !pending && s.unapplied[id].Content.Base >= head.Version {
			delete(s.unapplied, id)
		}
	}
}

// acceptedBetween returns the accepted notes that lead from one version to
// another, or nil when some are not kept.
func (s *noteStore) acceptedBetween(from, to state.ReleaseVersion) []objects.Note {
	var notes []objects.Note
	for _, note := range s.accepted {
		if note.Content.Base == from+state.ReleaseVersion(len(notes)) {
			notes = append(notes, note)
		}
	}
	if from+state.ReleaseVersion(len(notes)) != to {
		return nil
	}
	return notes
}

// fetch is the state of fetching notes and releases that this host lacks.
type fetch struct {
	// startedAt is when fetching of a release began, zero for not fetching.
	startedAt time.Time
	// requestedAt and noteRequestedAt are the times of the last requests to
	// peers for a release and for a note.
	requestedAt     time.Time
	noteRequestedAt time.Time
	// source is the last peer that reported a newer release.
	source state.Host
	// noteHolder is the last peer that reported that it holds the pending note.
	noteHolder state.Host
}

// fetchRelease requests newer releases from a peer. A watcher reads them from
// the platform if it knows no such peer or peers have not helped for
// PeerFetchTimeout.
func (m *Machine) fetchRelease(now time.Time) {
	if m.fetch.startedAt.IsZero() {
		m.fetch.startedAt = now
	}
	peer, ok := m.pickSource()
	if ok {
		m.requestRelease(now, peer, false)
	}
	if ok && now.Sub(m.fetch.startedAt) < PeerFetchTimeout {
		return
	}
	if m.isWatcher(now) {
		m.fetchFromPlatform(now)
	}
}

// pickSource returns a peer that runs a newer release: half of the time the
// last one that reported it, else a random one.
func (m *Machine) pickSource() (state.Host, bool) {
	if m.fetch.source.ID != "" && m.rng.IntN(2) == 0 {
		return m.fetch.source, true
	}
	var newer []state.Host
	for _, host := range m.members.others {
		if m.status.versions[host.ID] > m.Version() {
			newer = append(newer, host)
		}
	}
	if len(newer) == 0 {
		return m.fetch.source, m.fetch.source.ID != ""
	}
	return newer[m.rng.IntN(len(newer))], true
}

// requestRelease requests newer releases from a peer, at most once per
// FetchInterval. With anyVersion it requests the peer's release even if that is
// older.
func (m *Machine) requestRelease(now time.Time, peer state.Host, anyVersion bool) {
	if now.Sub(m.fetch.requestedAt) < FetchInterval {
		return
	}
	m.fetch.requestedAt = now
	have := m.Version()
	if anyVersion {
		have = 0
	}
	m.send(peer, FetchRequest{Have: have})
}

// requestNoteFromPeer requests a note from a peer that holds the pending one,
// at most once per FetchInterval.
func (m *Machine) requestNoteFromPeer(now time.Time, id state.NoteID) {
	if m.fetch.noteHolder.ID == "" || now.Sub(m.fetch.noteRequestedAt) < FetchInterval {
		return
	}
	m.fetch.noteRequestedAt = now
	m.send(m.fetch.noteHolder, FetchRequest{Have: m.Version(), Note: id})
}

// receiveFetchRequest replies with what this host holds of the requested
// content, and does not reply if it holds nothing of it.
func (m *Machine) receiveFetchRequest(from state.Host, request FetchRequest) {
	reply := FetchReply{}
	if request.Note != "" {
		reply.Note = m.notes.find(request.Note)
	}
	if m.Version() > request.Have {
		if request.Have > 0 {
			reply.Accepted = m.notes.acceptedBetween(request.Have, m.Version())
		}
		if reply.Accepted == nil {
			reply.Release = m.current
		}
	}
	if reply.Note != nil || reply.Accepted != nil || reply.Release != nil {
		m.send(from, reply)
	}
}

// receiveFetchReply stores and applies the notes and releases that a peer sent.
func (m *Machine) receiveFetchReply(now time.Time, reply FetchReply) {
	changed := reply.Note != nil && m.storeNote(*reply.Note)
	before := m.Version()
	for _, note := range reply.Accepted {
		m.applyAccepted(now, note)
	}
	if reply.Release != nil {
		m.install(now, reply.Release)
	}
	if m.settings.Variant == VariantVersionDecreases && m.Version() < before {
		return
	}
	m.advance(now)
	m.stagePending(now)
	if changed || m.Version() != before {
		m.pushDigest(now)
	}
}

// applyAccepted installs the release that an accepted note produces, if the
// note applies to the release in force.
func (m *Machine) applyAccepted(now time.Time, note objects.Note) {
	if note.Content.Base != m.Version() {
		return
	}
	next, problems := state.Apply(m.current, &note.Content)
	if len(problems) > 0 {
		m.log("release_apply_failed", joinProblems(problems))
		return
	}
	m.storeNote(note)
	m.install(now, next)
}

// storeNote keeps a pending or accepted note and reports whether it is new.
func (m *Machine) storeNote(note objects.Note) bool {
	if m.notes.find(note.ID) != nil {
		return false
	}
	m.notes.unapplied[note.ID] = note
	return true
}

// handleNoteOutcome stores a note that was read from the platform.
func (m *Machine) handleNoteOutcome(now time.Time, outcome objects.Outcome) {
	if outcome.Result != objects.ResultOK {
		return
	}
	var note objects.Note
	if err := json.Unmarshal(outcome.Object.Value, &note); err != nil {
		m.log("release_note_invalid", err.Error())
		return
	}
	m.storeNote(note)
	m.applyMissingNotes(now)
	m.pushDigest(now)
}

// readNote reads a note from the platform.
func (m *Machine) readNote(now time.Time, id state.NoteID) {
	m.call(now, objects.Call{Verb: objects.VerbGet, Key: objects.PrefixNotes + string(id)})
}

// missingNotes lists the accepted notes between this host's release and the
// head's, oldest first; nil when the head no longer lists them all.
func (m *Machine) missingNotes() []objects.NoteRef {
	next := m.Version() + 1
	var refs []objects.NoteRef
	for i := len(m.head.Decided) - 1; i >= 0; i-- {
		decision := m.head.Decided[i]
		if decision.State == objects.NoteAccepted && decision.Note.Version == next {
			refs = append(refs, decision.Note)
			next++
		}
	}
	if next != m.head.Version+1 {
		return nil
	}
	return refs
}

// applyMissingNotes applies the missing notes in order, up to the first that
// this host does not hold.
func (m *Machine) applyMissingNotes(now time.Time) {
	for _, ref := range m.missingNotes() {
		note := m.notes.find(ref.ID)
		if note == nil {
			return
		}
		m.applyAccepted(now, *note)
	}
}

// fetchFromPlatform reads the missing notes, or the newest checkpoint if this
// host has no release or the head no longer lists all missing notes.
func (m *Machine) fetchFromPlatform(now time.Time) {
	if m.head.Version <= m.Version() {
		return
	}
	missing := m.missingNotes()
	if missing == nil || (m.current == nil && m.head.Checkpoint > 0) {
		m.readCheckpoint(now)
		return
	}
	for _, ref := range missing {
		if m.notes.find(ref.ID) == nil {
			m.readNote(now, ref.ID)
			return
		}
	}
	m.applyMissingNotes(now)
}
