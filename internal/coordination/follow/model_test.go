package follow_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/coordination/follow"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/guavawharf/guavawharf/internal/state/replica"
)

// Times of the model.
const (
	// modelRewriteWithin is how long after a restore the last target writes again.
	modelRewriteWithin = 3 * time.Second
	modelSettleTime    = 20 * time.Second
	modelPageSize      = 2
)

// modelTarget is what a target writes about itself.
type modelTarget struct {
	Draining bool
	Sequence uint64
	// left is set once the target has left and its entry is to be removed.
	left bool
}

// modelStore is the store: it lists pages, answers polls and may be restored from a backup.
type modelStore struct {
	era      objects.Era
	revision uint64
	entries  map[string]objects.Object
	removed  map[string]uint64
}

func (s *modelStore) put(name string, target modelTarget) {
	s.revision++
	value, err := json.Marshal(target)
	if err != nil {
		panic(err)
	}
	s.entries[name] = objects.Object{Key: name, Revision: s.revision, Value: value}
	delete(s.removed, name)
}

func (s *modelStore) remove(name string) {
	s.revision++
	delete(s.entries, name)
	s.removed[name] = s.revision
}

func (s *modelStore) backup() *modelStore {
	return &modelStore{era: s.era, revision: s.revision, entries: maps.Clone(s.entries), removed: maps.Clone(s.removed)}
}

func (s *modelStore) answer(call objects.Call) objects.Outcome {
	outcome := objects.Outcome{Era: s.era, Page: objects.Page{Revision: s.revision}}
	if call.Verb == objects.VerbList {
		for _, name := range slices.Sorted(maps.Keys(s.entries)) {
			if "targets/"+name <= call.From {
				continue
			}
			if len(outcome.Page.Objects) == modelPageSize {
				outcome.Page.More = true
				break
			}
			outcome.Page.Objects = append(outcome.Page.Objects, s.entries[name])
		}
		return outcome
	}
	if call.After > s.revision {
		return objects.Outcome{Result: objects.ResultExpired, Era: s.era}
	}
	for _, object := range s.entries {
		if object.Revision > call.After {
			outcome.Page.Objects = append(outcome.Page.Objects, object)
		}
	}
	for name, revision := range s.removed {
		if revision > call.After {
			outcome.Page.Objects = append(outcome.Page.Objects, objects.Object{Key: name, Revision: revision, Deleted: true})
		}
	}
	return outcome
}

// modelHost is a host; peer is the host that it reads from, nil for none.
type modelHost struct {
	follower  *follow.Follower
	directory *catalog.Directory
	replica   *replica.Replica
	peer      *modelHost
	// flight is an answer on its way.
	flight *modelFlight
	// knownAsOf is as of when the host's knowledge is, flightAsOf that of the answer on its way.
	knownAsOf  time.Duration
	flightAsOf time.Duration
	// sawDraining are the targets that the host has known as draining.
	sawDraining map[string]bool
}

type modelFlight struct {
	call    objects.Call
	source  follow.Source
	outcome objects.Outcome
	age     time.Duration
}

func newModelHost(peer *modelHost) *modelHost {
	h := &modelHost{
		peer: peer, replica: replica.New(), sawDraining: make(map[string]bool),
		follower: follow.New(follow.Settings{
			Kind: "targets", Interval: 2 * time.Second, ServingInterval: time.Second, PeerPollAge: 1600 * time.Millisecond,
			RetryMin: 50 * time.Millisecond, RetryMax: 400 * time.Millisecond,
		}, func() float64 { return 0.5 }),
		directory: catalog.NewDirectory(catalog.Settings{
			DepartedRetention: time.Minute, OutageGrace: 2500 * time.Millisecond, RestoreDoubt: 6 * time.Second,
		}),
	}
	return h
}

// send makes the call that is due, if any. The answer is as of now and arrives later.
func (h *modelHost) send(now time.Duration, store *modelStore, lost bool) {
	if h.flight != nil {
		return
	}
	h.follower.SetPeerStatus(now, h.peer != nil, h.peer == nil)
	call, source, due := h.follower.Next(now)
	if !due {
		return
	}
	h.flight = &modelFlight{call: call, source: source}
	switch {
	case lost:
		h.flight.outcome = objects.Outcome{Result: objects.ResultUnknown}
	case source == follow.SourceStore:
		h.flight.outcome = store.answer(call)
	default:
		h.flight.outcome, h.flight.age = h.peer.answer(now, call)
	}
}

// answer answers another host from the replica.
func (h *modelHost) answer(now time.Duration, call objects.Call) (objects.Outcome, time.Duration) {
	outcome := objects.Outcome{Result: objects.ResultAbsent, Era: h.replica.Era()}
	if call.Era != 0 && call.Era != h.replica.Era() {
		return outcome, 0
	}
	answer := h.replica.ChangesSince(call.After, now)
	if call.Verb == objects.VerbList {
		answer = h.replica.List("", now)
	}
	if answer.Known {
		outcome.Result, outcome.Page = objects.ResultOK, answer.Page
	}
	return outcome, answer.Age
}

// receive handles the answer on its way as the control loop of a host does.
func (h *modelHost) receive(now time.Duration) {
	change, received := h.receiveChange(now)
	if !received {
		return
	}
	for _, object := range change.Objects {
		h.apply(now, object)
	}
	if change.AllKeys != nil {
		h.directory.RemoveUnlisted(now, change.AllKeys)
	}
}

// receiveChange passes the answer on its way, if any, to the follower and the replica, and
// returns what is new to the host.
func (h *modelHost) receiveChange(now time.Duration) (change follow.Change, received bool) {
	flight := h.flight
	if flight == nil {
		return follow.Change{}, false
	}
	h.flight = nil
	if flight.source == follow.SourceStore {
		change = h.follower.HandleStoreOutcome(now, flight.call, flight.outcome)
	} else {
		change, _ = h.follower.HandlePeerOutcome(now, flight.call, flight.outcome, flight.age)
	}
	if change.Restored {
		h.directory.RecordRestore(now)
		h.replica.Restore(change.Objects, h.follower.Era(), flight.outcome.Page.Revision)
	} else {
		change.Objects = h.replica.Put(change.Objects, flight.outcome.Page.Revision)
		if change.AllKeys != nil {
			h.replica.RemoveUnlisted(change.AllKeys, flight.outcome.Page.Revision)
		}
	}
	if change.Complete {
		h.replica.MarkComplete(h.follower.Era(), h.follower.Revision(), h.follower.CompleteAsOf())
	}
	return change, true
}

func (h *modelHost) apply(now time.Duration, object objects.Object) {
	if object.Deleted {
		h.directory.Remove(now, object.Key)
		return
	}
	var target modelTarget
	if err := json.Unmarshal(object.Value, &target); err != nil {
		panic(err)
	}
	entry := catalog.Target{Name: object.Key, Pool: "p", Slots: 1, StartMillis: 1, Sequence: target.Sequence, Draining: target.Draining}
	if _, err := fmt.Sscanf(object.Key, "t%d", &entry.ID); err != nil {
		panic(err)
	}
	if h.directory.Put(now, entry) && target.Draining {
		h.sawDraining[object.Key] = true
	}
}

// offered returns the targets that the host sends new flows to.
func (h *modelHost) offered(now time.Duration) []string {
	view, _ := h.directory.View(now)
	names := []string{}
	for _, pool := range view.Pools {
		for _, target := range pool.Offered {
			names = append(names, target.Name)
		}
	}
	slices.Sort(names)
	return names
}

// model is the store, what the targets last wrote, and two hosts.
type model struct {
	now        time.Duration
	store      *modelStore
	backup     *modelStore
	targets    map[string]modelTarget
	rewrites   []string
	restoredAt time.Duration
	hosts      []*modelHost
}

func newModel() *model {
	m := &model{
		store:   &modelStore{era: 1, revision: 1, entries: make(map[string]objects.Object), removed: make(map[string]uint64)},
		targets: make(map[string]modelTarget),
	}
	first := newModelHost(nil)
	m.hosts = []*modelHost{first, newModelHost(first)}
	for range 3 {
		m.startTarget()
	}
	m.backup = m.store.backup()
	return m
}

func (m *model) startTarget() {
	name := fmt.Sprintf("t%d", len(m.targets)+1)
	m.targets[name] = modelTarget{Sequence: 1}
	m.store.put(name, m.targets[name])
}

// write has a target write what it is about to say, or that it has left.
func (m *model) write(name string) {
	if target := m.targets[name]; !target.left {
		m.store.put(name, target)
		return
	}
	m.store.remove(name)
}

// restore restores the store from the backup. All targets have to write again.
func (m *model) restore() {
	era := m.store.era
	m.store = m.backup.backup()
	m.store.era = era + 1
	m.rewrites = slices.Sorted(maps.Keys(m.targets))
	m.restoredAt = m.now
}

// rewriteNext has one more target write again what it had written.
func (m *model) rewriteNext(at int) {
	if len(m.rewrites) > 0 {
		i := at % len(m.rewrites)
		m.write(m.rewrites[i])
		m.rewrites = slices.Delete(m.rewrites, i, i+1)
	}
}

func (m *model) rewriteAll() {
	for len(m.rewrites) > 0 {
		m.rewriteNext(0)
	}
}

// step plays one random action.
func (m *model) step(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
	if len(m.rewrites) > 0 && m.now-m.restoredAt > modelRewriteWithin {
		m.rewriteAll()
	}
	host := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")]
	name := fmt.Sprintf("t%d", rapid.IntRange(1, len(m.targets)).Draw(t, "target"))
	switch rapid.SampledFrom([]string{"send", "send", "send", "receive", "receive", "receive", "lose", "start", "drain", "leave", "backup", "restore", "rewrite", "rewrite"}).Draw(t, "action") {
	case "send":
		host.send(m.now, m.store, false)
	case "lose":
		host.send(m.now, m.store, true)
	case "receive":
		host.receive(m.now)
	case "start":
		if len(m.targets) < 9 {
			m.startTarget()
		}
	case "drain":
		m.drain(name)
	case "leave":
		if target := m.targets[name]; target.Draining && !target.left && !slices.Contains(m.rewrites, name) {
			target.left = true
			m.targets[name] = target
			m.write(name)
		}
	case "backup":
		m.backup = m.store.backup()
	case "restore":
		if len(m.rewrites) == 0 {
			m.restore()
		}
	case "rewrite":
		m.rewriteNext(rapid.IntRange(0, 8).Draw(t, "rewrite"))
	}
}

func (m *model) drain(name string) {
	target := m.targets[name]
	if target.Draining || slices.Contains(m.rewrites, name) {
		return
	}
	target.Draining = true
	target.Sequence++
	m.targets[name] = target
	m.write(name)
}

// settle plays on without faults.
func (m *model) settle() {
	m.rewriteAll()
	for end := m.now + modelSettleTime; m.now < end; m.now += 10 * time.Millisecond {
		for _, host := range m.hosts {
			host.send(m.now, m.store, false)
			host.receive(m.now)
		}
	}
}

// A store that goes back to backups, targets that write again in any order, answers that
// are lost or from before a restore, and a host that reads from another: no host ever uses
// a target again that it knew to be leaving, and in the end all hosts know what is.
func TestHostsKnowTheTargetsThroughRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			m.step(t)
			for i, host := range m.hosts {
				for _, name := range host.offered(m.now) {
					require.False(t, host.sawDraining[name], "host %d uses %s, which is leaving", i, name)
				}
			}
		}
		m.settle()
		expected := []string{}
		for name, target := range m.targets {
			if !target.Draining {
				expected = append(expected, name)
			}
		}
		slices.Sort(expected)
		for i, host := range m.hosts {
			require.Equal(t, expected, host.offered(m.now), "host %d", i)
		}
	})
}
