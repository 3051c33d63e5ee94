package control

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// promises checks, all along, what must hold in any world whatever fails.
type promises struct {
	w        *world
	accepted map[state.ReleaseVersion]state.NoteID
	at       map[state.ReleaseVersion]time.Time
	decided  map[state.NoteID]objects.NoteState
	notes    map[state.NoteID]objects.Note
	staged   map[string]objects.Staged
	domains  []state.DomainID
	// shown is the newest version that each run of a host had in force.
	shown  map[string]state.ReleaseVersion
	broken []string
	// reached is when each host, in its present run, got release 2 or newer.
	reached map[state.HostID]time.Time
	// forcedAt holds when each version came into force on the hosts.
	forcedAt map[state.ReleaseVersion][]time.Time
	onForce  func(n *node, version state.ReleaseVersion)
	// unready tells whether a host that was ready may stop admitting flows; nil
	// checks nothing.
	unready func(n *node) bool
	ready   map[string]bool
}

func newPromises(w *world) promises {
	return promises{
		w:        w,
		accepted: make(map[state.ReleaseVersion]state.NoteID),
		at:       make(map[state.ReleaseVersion]time.Time),
		decided:  make(map[state.NoteID]objects.NoteState),
		notes:    make(map[state.NoteID]objects.Note),
		staged:   make(map[string]objects.Staged),
		shown:    make(map[string]state.ReleaseVersion),
		forcedAt: make(map[state.ReleaseVersion][]time.Time),
		reached:  make(map[state.HostID]time.Time),
		ready:    make(map[string]bool),
	}
}

func (p *promises) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !slices.Contains(p.broken, text) {
		p.broken = append(p.broken, text)
	}
}

// written sees every write of the platform.
func (p *promises) written(object objects.Object) {
	switch {
	case object.Key == objects.KeyHead:
		var head objects.Head
		mustDecode(object.Value, &head)
		p.headWritten(head)
	case strings.HasPrefix(object.Key, "release/refused/"):
		var decision objects.Decision
		mustDecode(object.Value, &decision)
		p.decide(decision)
	case strings.HasPrefix(object.Key, objects.PrefixNotes):
		var note objects.Note
		mustDecode(object.Value, &note)
		p.notes[note.ID] = note
	case strings.HasPrefix(object.Key, objects.PrefixStaged):
		var staged objects.Staged
		mustDecode(object.Value, &staged)
		p.staged[string(staged.Note.ID)+"/"+string(staged.Domain)] = staged
	case strings.HasPrefix(object.Key, objects.PrefixInForce):
		var status objects.InForce
		mustDecode(object.Value, &status)
		p.checkStatus(status)
	}
}

func (p *promises) headWritten(head objects.Head) {
	for _, decision := range slices.Backward(head.Decided) {
		p.decide(decision)
	}
	if head.Version > 0 && p.accepted[head.Version] != head.Accepted {
		p.fail("head names note %s for release %d, accepted was %s", head.Accepted, head.Version, p.accepted[head.Version])
	}
}

// decide checks a decision against all earlier ones.
func (p *promises) decide(decision objects.Decision) {
	id := decision.Note.ID
	if before, ok := p.decided[id]; ok {
		if before != decision.State {
			p.fail("note %s was %s, now %s", id, before, decision.State)
		}
		return
	}
	p.decided[id] = decision.State
	if decision.State != objects.NoteAccepted {
		return
	}
	version := decision.Note.Version
	if other, ok := p.accepted[version]; ok {
		p.fail("release %d was made by %s and %s", version, other, id)
	}
	p.accepted[version] = id
	p.at[version] = p.w.now
	p.checkStaged(id)
}

// checkStaged checks that every domain of the release had staged the note.
func (p *promises) checkStaged(id state.NoteID) {
	content := p.notes[id].Content
	for _, domain := range append(slices.Clone(p.domains), content.AddDomains...) {
		staged, ok := p.staged[string(id)+"/"+string(domain)]
		if !slices.Contains(content.Without, domain) && (!ok || !staged.OK) {
			p.fail("note %s was accepted though %s had not staged it", id, domain)
		}
	}
	p.domains = append(p.domains, content.AddDomains...)
}

// checkStatus checks that what a domain reports to be in force is so on all its
// hosts that run and admit flows.
func (p *promises) checkStatus(status objects.InForce) {
	for _, n := range p.w.nodes {
		serving := n.alive && !n.paused && n.snapshot != nil && n.snapshot.Ready
		if serving && n.host.Domain == status.Domain && n.snapshot.Version < status.Version {
			p.fail("%s reports release %d, %s has %d", status.Domain, status.Version, n.host.ID, n.snapshot.Version)
		}
	}
}

// published checks what a host shows to traffic.
func (p *promises) published(n *node) {
	if n.snapshot.Ready && n.snapshot.Version == 0 {
		p.fail("%s is ready without a release", n.host.ID)
	}
	run := n.name
	if p.ready[run] && !n.snapshot.Ready && p.unready != nil && !p.unready(n) {
		p.fail("%s stopped admitting flows", run)
	}
	p.ready[run] = n.snapshot.Ready
}

// stepped checks what is in force on a host after each step.
func (p *promises) stepped(n *node) {
	release := n.core.Release()
	if release == nil {
		return
	}
	if p.accepted[release.Version] != release.Note {
		p.fail("%s has note %s in force as release %d, accepted is %q",
			n.host.ID, release.Note, release.Version, p.accepted[release.Version])
	}
	run := n.name
	if release.Version < p.shown[run] {
		p.fail("%s fell from release %d to %d", run, p.shown[run], release.Version)
	}
	if release.Version > p.shown[run] {
		p.forcedAt[release.Version] = append(p.forcedAt[release.Version], p.w.now)
		if p.onForce != nil {
			p.onForce(n, release.Version)
		}
	}
	if _, ok := p.reached[n.host.ID]; !ok && release.Version >= 2 {
		p.reached[n.host.ID] = p.w.now
	}
	p.shown[run] = max(p.shown[run], release.Version)
}

// inForce tells whether a version, or a newer one, is in force and ready on
// every live host.
func (w *world) inForce(version state.ReleaseVersion) bool {
	for _, n := range w.nodes {
		if n.alive && (n.snapshot == nil || !n.snapshot.Ready || n.snapshot.Version < version) {
			return false
		}
	}
	return true
}
