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
	loose    map[state.NoteID]objects.Note
	accepted []objects.Note
}

func newNoteStore() noteStore {
	return noteStore{loose: make(map[state.NoteID]objects.Note)}
}

// find returns the note with an id, nil when it is not kept.
func (s *noteStore) find(id state.NoteID) *objects.Note {
	if note, ok := s.loose[id]; ok {
		return &note
	}
	for i := range s.accepted {
		if s.accepted[i].ID == id {
			return &s.accepted[i]
		}
	}
	return nil
}

// settle moves a note to the accepted ones and drops what is out of date.
func (s *noteStore) settle(id state.NoteID) {
	note := s.find(id)
	if note != nil && !slices.ContainsFunc(s.accepted, func(n objects.Note) bool { return n.ID == id }) {
		s.accepted = append(s.accepted, *note)
	}
	if extra := len(s.accepted) - MaxAcceptedNotes; extra > 0 {
		s.accepted = slices.Delete(s.accepted, 0, extra)
	}
	delete(s.loose, id)
}

// prune drops refused notes, which nothing refers to any more.
func (s *noteStore) prune(digest HeadDigest) {
	for id := range s.loose {
		pending := digest.Pending != nil && digest.Pending.Note.ID == id
		if !pending && s.loose[id].Content.Base >= digest.Version {
			delete(s.loose, id)
		}
	}
}

// after returns the accepted notes that lead from one version to another, or
// nil when some are not kept.
func (s *noteStore) after(have, version state.ReleaseVersion) []objects.Note {
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
	// since is when it began, zero for not fetching.
	since time.Time
	asked time.Time
	noted time.Time
	// source is a peer that runs a newer release.
	source state.Host
	// holder is a peer that holds the content of a pending note.
	holder state.Host
}

// fetchRelease asks a peer for newer releases and, as a watcher whose peers do
// not answer, the platform.
func (m *Machine) fetchRelease(now time.Time) {
	if m.fetch.since.IsZero() {
		m.fetch.since = now
	}
	peer, ok := m.sourcePeer()
	if ok {
		m.askFor(now, peer, false)
	}
	if ok && now.Sub(m.fetch.since) < PeerFetchTimeout {
		return
	}
	if m.isWatcher(now) {
		m.fetchFromPlatform(now)
	}
}

// sourcePeer picks a peer that runs a newer release, the last one heard first.
func (m *Machine) sourcePeer() (state.Host, bool) {
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

// askFor asks a peer for newer releases, no more often than AskInterval.
func (m *Machine) askFor(now time.Time, peer state.Host, anyVersion bool) {
	if now.Sub(m.fetch.asked) < FetchInterval {
		return
	}
	m.fetch.asked = now
	have := m.Version()
	if anyVersion {
		have = 0
	}
	m.send(peer, FetchRequest{Have: have})
}

// askNote asks a peer that holds a pending note's content for it.
func (m *Machine) askNote(now time.Time, id state.NoteID) {
	if m.fetch.holder.ID == "" || now.Sub(m.fetch.noted) < FetchInterval {
		return
	}
	m.fetch.noted = now
	m.send(m.fetch.holder, FetchRequest{Have: m.Version(), Note: id})
}

// receiveAsk answers with what this host holds; without it, not at all.
func (m *Machine) receiveAsk(from state.Host, ask FetchRequest) {
	content := FetchReply{}
	if ask.Note != "" {
		content.Note = m.notes.find(ask.Note)
	}
	if m.Version() > ask.Have {
		if ask.Have > 0 {
			content.Accepted = m.notes.after(ask.Have, m.Version())
		}
		if content.Accepted == nil {
			content.Release = m.current
		}
	}
	if content.Note != nil || content.Accepted != nil || content.Release != nil {
		m.send(from, content)
	}
}

// receiveContent takes in notes and releases that a peer sent.
func (m *Machine) receiveContent(now time.Time, content FetchReply) {
	changed := content.Note != nil && m.keepNote(*content.Note)
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
	m.stage(now)
	if changed || m.Version() != before {
		m.push(now)
	}
}

// applyAccepted moves to the release that an accepted note makes.
func (m *Machine) applyAccepted(now time.Time, note objects.Note) {
	if note.Content.Base != m.Version() {
		return
	}
	next, problems := state.Apply(m.current, &note.Content)
	if len(problems) > 0 {
		m.log("release_apply_failed", describe(problems))
		return
	}
	m.keepNote(note)
	m.install(now, next)
}

// keepNote keeps a note that is pending or accepted, and tells whether it is new.
func (m *Machine) keepNote(note objects.Note) bool {
	if m.notes.find(note.ID) != nil {
		return false
	}
	m.notes.loose[note.ID] = note
	return true
}

// noteAnswered takes in a note that the platform returned.
func (m *Machine) noteAnswered(now time.Time, outcome objects.Outcome) {
	if outcome.Result != objects.ResultOK {
		return
	}
	var note objects.Note
	if err := json.Unmarshal(outcome.Object.Value, &note); err != nil {
		m.log("release_note_invalid", err.Error())
		return
	}
	m.keepNote(note)
	m.applyChain(now)
	m.push(now)
}

// getNote reads a note from the platform.
func (m *Machine) getNote(now time.Time, id state.NoteID) {
	m.call(now, objects.Call{Verb: objects.VerbGet, Key: objects.PrefixNotes + string(id)})
}

// chain lists the accepted notes between this host's release and the head's,
// oldest first; nil when the head no longer names them all.
func (m *Machine) chain() []objects.NoteRef {
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

// applyChain applies the accepted notes that are at hand.
func (m *Machine) applyChain(now time.Time) {
	for _, ref := range m.chain() {
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
	chain := m.chain()
	if chain == nil || (m.current == nil && m.head.Checkpoint > 0) {
		m.listCheckpoint(now)
		return
	}
	for _, ref := range chain {
		if m.notes.find(ref.ID) == nil {
			m.getNote(now, ref.ID)
			return
		}
	}
	m.applyChain(now)
}
