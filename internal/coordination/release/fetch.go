package release

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// noteStore keeps the contents of notes: the pending one, those being fetched
// and the newest accepted ones.
type noteStore struct {
	unapplied    map[state.NoteID]objects.Note
	accepted []objects.Note
}

func newNoteStore() noteStore {
	return noteStore{unapplied: make(map[state.NoteID]objects.Note)}
}

// find returns the note with an id, nil when it is not kept.
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

// markAccepted moves a note to the accepted ones and drops what is out of date.
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

// pruneRefused drops refused notes, which nothing refers to any more.
func (s *noteStore) pruneRefused(digest HeadDigest) {
	for id := range s.unapplied {
		pending := digest.Pending != nil && digest.Pending.Note.ID == id
		if !pending && s.unapplied[id].Content.Base >= digest.Version {
			delete(s.unapplied, id)
		}
	}
}

// acceptedBetween returns the accepted notes that lead from one version to another, or
// nil when some are not kept.
func (s *noteStore) acceptedBetween(have, version state.ReleaseVersion) []objects.Note {
	var chain []objects.Note
	for _, note := range s.accepted {
		if note.Content.Base == have+state.ReleaseVersion(len(chain)) {
			chain = append(chain, note)
		}
	}
	if have+state.ReleaseVersion(len(chain)) != version {
		return nil
	}
	return chain
}

// fetch tracks how this host gets a release that it did not stage.
type fetch struct {
	// startedAt is when it began, zero for not fetching.
	startedAt time.Time
	requestedAt time.Time
	noteRequestedAt time.Time
	// source is a peer that runs a newer release.
	source state.Host
	// noteHolder is a peer that holds the content of a pending note.
	noteHolder state.Host
}

// fetchRelease asks a peer for newer releases and, as a watcher whose peers do
// not answer, the platform.
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

// pickSource picks a peer that runs a newer release, the last one heard first.
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

// requestRelease asks a peer for newer releases, no more often than AskInterval.
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

// requestNoteFromPeer asks a peer that holds a pending note's content for it.
func (m *Machine) requestNoteFromPeer(now time.Time, id state.NoteID) {
	if m.fetch.noteHolder.ID == "" || now.Sub(m.fetch.noteRequestedAt) < FetchInterval {
		return
	}
	m.fetch.noteRequestedAt = now
	m.send(m.fetch.noteHolder, FetchRequest{Have: m.Version(), Note: id})
}

// receiveFetchRequest answers with what this host holds; without it, not at all.
func (m *Machine) receiveFetchRequest(from state.Host, ask FetchRequest) {
	content := FetchReply{}
	if ask.Note != "" {
		content.Note = m.notes.find(ask.Note)
	}
	if m.Version() > ask.Have {
		if ask.Have > 0 {
			content.Accepted = m.notes.acceptedBetween(ask.Have, m.Version())
		}
		if content.Accepted == nil {
			content.Release = m.current
		}
	}
	if content.Note != nil || content.Accepted != nil || content.Release != nil {
		m.send(from, content)
	}
}

// receiveFetchReply takes in notes and releases that a peer sent.
func (m *Machine) receiveFetchReply(now time.Time, content FetchReply) {
	changed := content.Note != nil && m.storeNote(*content.Note)
	before := m.Version()
	for _, note := range content.Accepted {
		m.applyAccepted(now, note)
	}
	if content.Release != nil {
		m.install(now, content.Release)
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

// applyAccepted moves to the release that an accepted note makes.
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

// storeNote keeps a note that is pending or accepted, and tells whether it is new.
func (m *Machine) storeNote(note objects.Note) bool {
	if m.notes.find(note.ID) != nil {
		return false
	}
	m.notes.unapplied[note.ID] = note
	return true
}

// handleNoteOutcome takes in a note that the platform returned.
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

// missingNotes lists the accepted notes between this host's release and the head's,
// oldest first; nil when the head no longer names them all.
func (m *Machine) missingNotes() []objects.NoteRef {
	wanted := m.Version() + 1
	var refs []objects.NoteRef
	for i := len(m.head.Decided) - 1; i >= 0; i-- {
		decision := m.head.Decided[i]
		if decision.State == objects.NoteAccepted && decision.Note.Version == wanted {
			refs = append(refs, decision.Note)
			wanted++
		}
	}
	if wanted != m.head.Version+1 {
		return nil
	}
	return refs
}

// applyMissingNotes applies the accepted notes that are at hand.
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
// host holds nothing or the head no longer names all missing notes.
func (m *Machine) fetchFromPlatform(now time.Time) {
	if m.head.Version <= m.Version() {
		return
	}
	chain := m.missingNotes()
	if chain == nil || (m.current == nil && m.head.Checkpoint > 0) {
		m.readCheckpoint(now)
		return
	}
	for _, ref := range chain {
		if m.notes.find(ref.ID) == nil {
			m.readNote(now, ref.ID)
			return
		}
	}
	m.applyMissingNotes(now)
}
