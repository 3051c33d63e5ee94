package control

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// invariants checks, during the whole simulation, what must hold under every fault.
type invariants struct {
	w          *simulation
	accepted   map[state.ReleaseVersion]state.NoteID
	acceptedAt map[state.ReleaseVersion]time.Time
	decided    map[state.NoteID]objects.NoteState
	notes      map[state.NoteID]objects.Note
	staged     map[string]objects.Staged
	domains    []state.DomainID
	// newestInForce is the newest version in force, by run of a host.
	newestInForce map[string]state.ReleaseVersion
	violations    []string
	// reachedAt is when each host, in its current run, had release 2 or newer in force.
	reachedAt map[state.HostID]time.Time
	// inForceAt holds the times at which each version came into force on the hosts.
	inForceAt map[state.ReleaseVersion][]time.Time
	onInForce func(n *node, version state.ReleaseVersion)
	// mayStopAdmitting reports whether a ready host may stop admitting flows. If it is
	// nil, this is not checked.
	mayStopAdmitting func(n *node) bool
	wasReady         map[string]bool
}

func newInvariants(w *simulation) invariants {
	return invariants{
		w:             w,
		accepted:      make(map[state.ReleaseVersion]state.NoteID),
		acceptedAt:    make(map[state.ReleaseVersion]time.Time),
		decided:       make(map[state.NoteID]objects.NoteState),
		notes:         make(map[state.NoteID]objects.Note),
		staged:        make(map[string]objects.Staged),
		newestInForce: make(map[string]state.ReleaseVersion),
		inForceAt:     make(map[state.ReleaseVersion][]time.Time),
		reachedAt:     make(map[state.HostID]time.Time),
		wasReady:      make(map[string]bool),
	}
}

func (p *invariants) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !slices.Contains(p.violations, text) {
		p.violations = append(p.violations, text)
	}
}

// checkWrite checks an object that was written to the platform.
func (p *invariants) checkWrite(object objects.Object) {
	switch {
	case object.Key == objects.KeyHead:
		var head objects.Head
		mustDecode(object.Value, &head)
		p.checkHead(head)
	case strings.HasPrefix(object.Key, "release/refused/"):
		var decision objects.Decision
		mustDecode(object.Value, &decision)
		p.checkDecision(decision)
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

func (p *invariants) checkHead(head objects.Head) {
	for _, decision := range slices.Backward(head.Decided) {
		p.checkDecision(decision)
	}
	if head.Version > 0 && p.accepted[head.Version] != head.Accepted {
		p.fail("head names note %s for release %d, accepted was %s", head.Accepted, head.Version, p.accepted[head.Version])
	}
}

// checkDecision checks a decision against all earlier ones.
func (p *invariants) checkDecision(decision objects.Decision) {
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
	p.acceptedAt[version] = p.w.now
	p.checkStaged(id)
}

// checkStaged checks that every required domain had staged an accepted note.
func (p *invariants) checkStaged(id state.NoteID) {
	content := p.notes[id].Content
	for _, domain := range append(slices.Clone(p.domains), content.AddDomains...) {
		staged, ok := p.staged[string(id)+"/"+string(domain)]
		if !slices.Contains(content.Without, domain) && (!ok || !staged.OK) {
			p.fail("note %s was accepted though %s had not staged it", id, domain)
		}
	}
	p.domains = append(p.domains, content.AddDomains...)
}

// checkStatus checks that the version a domain reports to be in force is in force on
// all its hosts that run and admit flows.
func (p *invariants) checkStatus(status objects.InForce) {
	for _, n := range p.w.nodes {
		serving := n.alive && !n.paused && n.snapshot != nil && n.snapshot.Ready
		if serving && n.host.Domain == status.Domain && n.snapshot.Version < status.Version {
			p.fail("%s reports release %d, %s has %d", status.Domain, status.Version, n.host.ID, n.snapshot.Version)
		}
	}
}

// checkSnapshot checks a snapshot that a host published.
func (p *invariants) checkSnapshot(n *node) {
	if n.snapshot.Ready && n.snapshot.Version == 0 {
		p.fail("%s is ready without a release", n.host.ID)
	}
	run := n.runName
	if p.wasReady[run] && !n.snapshot.Ready && p.mayStopAdmitting != nil && !p.mayStopAdmitting(n) {
		p.fail("%s stopped admitting flows", run)
	}
	p.wasReady[run] = n.snapshot.Ready
}

// checkRelease checks the release in force on a host after a step.
func (p *invariants) checkRelease(n *node) {
	release := n.machine.Release()
	if release == nil {
		return
	}
	if p.accepted[release.Version] != release.Note {
		p.fail("%s has note %s in force as release %d, accepted is %q",
			n.host.ID, release.Note, release.Version, p.accepted[release.Version])
	}
	run := n.runName
	if release.Version < p.newestInForce[run] {
		p.fail("%s went back from release %d to %d", run, p.newestInForce[run], release.Version)
	}
	if release.Version > p.newestInForce[run] {
		p.inForceAt[release.Version] = append(p.inForceAt[release.Version], p.w.now)
		if p.onInForce != nil {
			p.onInForce(n, release.Version)
		}
	}
	if _, ok := p.reachedAt[n.host.ID]; !ok && release.Version >= 2 {
		p.reachedAt[n.host.ID] = p.w.now
	}
	p.newestInForce[run] = max(p.newestInForce[run], release.Version)
}

// inForceEverywhere reports whether every live host is ready and has the version or a
// newer one in force.
func (w *simulation) inForceEverywhere(version state.ReleaseVersion) bool {
	for _, n := range w.nodes {
		if n.alive && (n.snapshot == nil || !n.snapshot.Ready || n.snapshot.Version < version) {
			return false
		}
	}
	return true
}
