// Package listing distributes the platform's lists of hosts and of target loads.
// The watchers of a failure domain read them from the platform and send them to
// the other hosts of the domain. The machine is pure: the time and the random
// source are passed in.
package listing

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Timings and limits.
const (
	// KeyPrefix is the prefix of the keys of the platform's lists.
	KeyPrefix = "platform/"
	// WatchTimeout is how long the platform holds a watch open for a change.
	WatchTimeout = 8 * time.Second
	// WatchInterval is the minimum time between two watches.
	WatchInterval = time.Second
	// LoadsPublishInterval is the time between two load lists sent to peers
	// while no target's health or drain signal changes.
	LoadsPublishInterval = 5 * time.Second
	// DigestInterval is the time between two digests to a random peer.
	DigestInterval = 500 * time.Millisecond
	// ResendInterval is the time between two transmissions of load lists with a
	// changed health or drain signal, and Resends the number of retransmissions.
	ResendInterval = 300 * time.Millisecond
	Resends        = 2
	// PushFanout is how many peers of its domain a host sends a changed list to
	// at once.
	PushFanout = 3
	// MaxRetryDelay bounds the random wait after a failed call; the platform's
	// Retry-After may extend it.
	MaxRetryDelay = 4 * time.Second
)

// Output holds the messages and platform calls that the machine has produced.
type Output struct {
	Sends []message.Outgoing
	Calls []objects.Call
}

// Machine holds the newest lists that one host has received.
type Machine struct {
	self state.Host
	rng  *rand.Rand
	// peers are the other hosts of this domain, remotePeers those of other
	// domains.
	peers       []state.Host
	remotePeers []state.Host
	out         Output

	hosts HostsUpdate
	loads LoadsUpdate
	// readLoads is the newest load list that this host read from the platform.
	// It is not adopted or sent to peers before publishLoads does so.
	readLoads        LoadsUpdate
	loadsPublishedAt time.Time
	nextDigest       time.Time
	// resendsLeft is the number of retransmissions of the loads that remain.
	resendsLeft int
	nextResend  time.Time

	// callInFlight is true while a platform call has no outcome yet.
	callInFlight bool
	retryAt      time.Time
	// listed reports whether the lists were read since the last failure; the
	// watch continues from revision.
	listed   bool
	revision uint64
}

// New returns a machine without lists.
func New(self state.Host, rng *rand.Rand) *Machine {
	return &Machine{self: self, rng: rng}
}

// SetView sets the current membership view.
func (m *Machine) SetView(view state.MembershipView) {
	m.peers = nil
	m.remotePeers = nil
	for _, member := range view.Members {
		switch {
		case member.Domain != m.self.Domain:
			m.remotePeers = append(m.remotePeers, member.Host)
		case member.ID != m.self.ID:
			m.peers = append(m.peers, member.Host)
		}
	}
}

// Hosts returns the newest list of hosts and its revision, 0 for none.
func (m *Machine) Hosts() (objects.HostList, uint64) { return m.hosts.List, m.hosts.Revision }

// Loads returns the newest list of loads and its revision, 0 for none.
func (m *Machine) Loads() (objects.LoadList, uint64) { return m.loads.List, m.loads.Revision }

// DrainOutput returns the gathered output and clears it.
func (m *Machine) DrainOutput() Output {
	out := m.out
	m.out = Output{}
	return out
}

// Tick does the periodic work. A watching host reads the platform; while the
// platform does not answer it, the host also sends its digest to a host of
// another domain to obtain newer lists from there.
func (m *Machine) Tick(now time.Time, watching bool) {
	if watching {
		m.watch(now)
	} else {
		m.listed = false
	}
	m.publishLoads(now)
	m.resendLoads(now)
	if now.Before(m.nextDigest) {
		return
	}
	m.nextDigest = now.Add(DigestInterval)
	m.sendToRandom(m.peers, m.digest(), 1)
	if watching && !m.listed {
		m.sendToRandom(m.remotePeers, m.digest(), 1)
	}
}

// resendLoads sends load lists with changed signals again, since messages may be
// lost.
func (m *Machine) resendLoads(now time.Time) {
	if m.resendsLeft == 0 || now.Before(m.nextResend) {
		return
	}
	m.resendsLeft--
	m.nextResend = now.Add(ResendInterval)
	m.sendToRandom(m.peers, m.loads, PushFanout)
}

func (m *Machine) digest() Digest {
	return Digest{HostsRevision: m.hosts.Revision, LoadsRevision: m.loads.Revision}
}

func (m *Machine) watch(now time.Time) {
	if m.callInFlight || now.Before(m.retryAt) {
		return
	}
	m.callInFlight = true
	call := objects.Call{Verb: objects.VerbList, Key: KeyPrefix}
	if m.listed {
		call = objects.Call{Verb: objects.VerbWatch, Key: KeyPrefix, After: m.revision, Wait: WatchTimeout}
	}
	m.out.Calls = append(m.out.Calls, call)
}

// HandleOutcome handles the outcome of a platform call.
func (m *Machine) HandleOutcome(now time.Time, outcome objects.Outcome) {
	m.callInFlight = false
	if outcome.Result != objects.ResultOK {
		m.listed = false
		wait := time.Duration(m.rng.Int64N(int64(MaxRetryDelay)))
		m.retryAt = now.Add(max(wait, outcome.RetryAfter))
		return
	}
	m.retryAt = now.Add(WatchInterval)
	m.listed = true
	m.revision = max(m.revision, outcome.Page.Revision)
	for _, object := range outcome.Page.Objects {
		m.handleObject(now, object)
	}
}

func (m *Machine) handleObject(now time.Time, object objects.Object) {
	switch object.Key {
	case objects.KeyHosts:
		update := HostsUpdate{Revision: object.Revision}
		if json.Unmarshal(object.Value, &update.List) == nil {
			m.adoptHosts(update)
		}
	case objects.KeyLoads:
		update := LoadsUpdate{Revision: object.Revision}
		if json.Unmarshal(object.Value, &update.List) == nil && update.Revision > m.readLoads.Revision {
			m.readLoads = update
			m.publishLoads(now)
		}
	}
}

// publishLoads adopts the loads read from the platform and sends them to peers:
// at once when a target's health or drain signal changed, else every
// LoadsPublishInterval.
func (m *Machine) publishLoads(now time.Time) {
	if m.readLoads.Revision <= m.loads.Revision {
		return
	}
	if !signalsDiffer(m.readLoads.List, m.loads.List) && now.Sub(m.loadsPublishedAt) < LoadsPublishInterval {
		return
	}
	m.loadsPublishedAt = now
	m.adoptLoads(m.readLoads)
}

// signalsDiffer reports whether the lists differ in their targets or in a
// target's health or drain signal.
func signalsDiffer(a, b objects.LoadList) bool {
	type signal struct{ healthy, draining bool }
	known := make(map[state.TargetID]signal, len(b.Loads))
	for _, load := range b.Loads {
		known[load.Target] = signal{load.Healthy, load.Draining}
	}
	for _, load := range a.Loads {
		before, ok := known[load.Target]
		if !ok || before != (signal{load.Healthy, load.Draining}) {
			return true
		}
	}
	return len(a.Loads) != len(b.Loads)
}

func (m *Machine) adoptHosts(update HostsUpdate) {
	if update.Revision <= m.hosts.Revision {
		return
	}
	m.hosts = update
	m.sendToRandom(m.peers, update, PushFanout)
}

func (m *Machine) adoptLoads(update LoadsUpdate) {
	if update.Revision <= m.loads.Revision {
		return
	}
	if signalsDiffer(update.List, m.loads.List) {
		m.resendsLeft = Resends
	}
	m.loads = update
	m.sendToRandom(m.peers, update, PushFanout)
}

// Receive handles a message of this package and ignores others.
func (m *Machine) Receive(from state.Host, received message.Message) {
	switch msg := received.(type) {
	case HostsUpdate:
		m.adoptHosts(msg)
	case LoadsUpdate:
		m.adoptLoads(msg)
	case Digest:
		m.receiveDigest(from, msg)
	}
}

// receiveDigest sends the lists that are newer than the peer's. If the peer has
// a newer one, this host requests it by sending its own digest.
func (m *Machine) receiveDigest(from state.Host, digest Digest) {
	if digest.HostsRevision < m.hosts.Revision {
		m.send(from, m.hosts)
	}
	if digest.LoadsRevision < m.loads.Revision {
		m.send(from, m.loads)
	}
	if digest.HostsRevision > m.hosts.Revision || digest.LoadsRevision > m.loads.Revision {
		m.send(from, m.digest())
	}
}

func (m *Machine) sendToRandom(hosts []state.Host, msg message.Message, count int) {
	if len(hosts) == 0 {
		return
	}
	for _, i := range m.rng.Perm(len(hosts))[:min(count, len(hosts))] {
		m.send(hosts[i], msg)
	}
}

func (m *Machine) send(to state.Host, msg message.Message) {
	m.out.Sends = append(m.out.Sends, message.Outgoing{To: to, Message: msg})
}
