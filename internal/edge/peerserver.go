package edge

import (
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/guavawharf/guavawharf/internal/coordination/follow"
	"github.com/guavawharf/guavawharf/internal/coordination/hostlist"
	"github.com/guavawharf/guavawharf/internal/coordination/overload"
	"github.com/guavawharf/guavawharf/internal/coordination/peers"
	"github.com/guavawharf/guavawharf/internal/protocol/edgeapi"
	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/guavawharf/guavawharf/internal/state/replica"
	"github.com/guavawharf/guavawharf/internal/transport/netrpc"
	"github.com/guavawharf/guavawharf/internal/transport/peerlink"
	"github.com/guavawharf/guavawharf/platform"
)

// Limits of the size of one answer to another host in bytes.
const (
	// maxChangesSize limits an answer about changes: 24 hosts that poll within the same 2 s
	// use at most a fifth of a 10 Mbit/s link.
	maxChangesSize = 20 << 10
	// maxListSize limits a page of a list. Few hosts request lists at the same time: those
	// that started while the store was unavailable.
	maxListSize = 128 << 10
)

// peerServer serves the data that this host has read to other hosts, and the operator
// service.
type peerServer struct {
	edge   *Edge
	server *peerlink.Server

	mu       sync.Mutex
	replicas map[string]*replica.Replica
	pollers  *peers.Pollers
	arbiter  *overload.Arbiter
	// pollerRetention is how long a host that stopped polling still counts as a poller.
	pollerRetention time.Duration
	// hosts is what is known of the other hosts.
	hosts *hostlist.List
	// graceUntil is the end of the grace period in which a missing entry does not prove
	// that its target is gone: the entry may have expired while the store was unavailable.
	graceUntil time.Duration
}

// listenPeers opens the control address. A host that reads from this one polls more often
// than once in the longer of the two bounds on changes; one that stops polling for that
// long no longer counts as a poller.
func listenPeers(e *Edge, kinds ...string) (*peerServer, error) {
	retention := max(e.settings.ChangeBound, e.settings.DrainBound)
	self := hostlist.Host{Control: e.settings.Control, Domain: e.settings.Domain}
	r := &peerServer{
		edge:     e,
		replicas: make(map[string]*replica.Replica),
		pollers:  peers.NewPollers(retention),
		arbiter:  overload.NewArbiter(),
		hosts:    hostlist.New(self),

		pollerRetention: retention,
	}
	for _, kind := range kinds {
		r.replicas[kind] = replica.New()
	}
	var err error
	operators := netrpc.Service{Name: edgeapi.Service, Receiver: &operator{edge: e}}
	r.server, err = peerlink.Listen(e.settings.Control, r, operators)
	return r, err
}

// run serves until close.
func (r *peerServer) run() {
	if err := r.server.Serve(); err != nil {
		r.edge.log.Error("server for other hosts and operators failed", "error", err.Error())
	}
}

// update stores the changes of a call and returns the objects that are new to this host.
// era and revision are the store's at that call.
func (r *peerServer) update(kind string, change follow.Change, era objects.Era, revision uint64) []objects.Object {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := r.replicas[kind]
	if change.Restored {
		stored.Restore(change.Objects, era, revision)
		return change.Objects
	}
	changed := stored.Put(change.Objects, revision)
	if change.AllKeys != nil {
		stored.RemoveUnlisted(change.AllKeys, revision)
	}
	return changed
}

// markCurrent records that all changes up to revision of an era are known as of a time
// returned by bootTime.
func (r *peerServer) markCurrent(kind string, era objects.Era, revision uint64, asOf time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicas[kind].MarkComplete(era, revision, asOf)
}

// setGraceUntil sets the end of the grace period in which a missing entry does not prove
// that its target is gone.
func (r *peerServer) setGraceUntil(until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.graceUntil = until
}

// Read implements peerlink.Handler. A leaving host sends an empty reply, so that others
// stop reading from it.
func (r *peerServer) Read(query peerapi.Query) peerapi.Reply {
	if r.edge.leaving.Load() {
		return peerapi.Reply{}
	}
	now := r.edge.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := peerapi.Reply{Instead: r.recordPoll(now, query.From), Hosts: r.answerHosts(now, query)}
	for _, read := range query.Reads {
		reply.Answers = append(reply.Answers, r.answerRead(now, read))
	}
	return reply
}

// answerRead returns the answer to one read: the changes since a revision, or a page of
// a list.
func (r *peerServer) answerRead(now time.Duration, read peerapi.Read) peerapi.Answer {
	stored := r.replicas[read.Kind]
	if stored == nil {
		return peerapi.Answer{}
	}
	if read.NewerConfig {
		return r.answerNewerConfig(stored, read.ConfigVersion)
	}
	if read.Era != 0 && read.Era != stored.Era() {
		r.edge.metrics.countPeerRead(false)
		return peerapi.Answer{Era: stored.Era()}
	}
	answer, limit := stored.ChangesSince(read.After, bootTime()), maxChangesSize
	if read.List {
		answer, limit = stored.List(read.Key, bootTime()), maxListSize
	}
	r.edge.metrics.countPeerRead(answer.Known)
	if pageSize(answer.Page) > limit {
		return peerapi.Answer{TooLarge: true}
	}
	return peerapi.Answer{
		Known: answer.Known,
		Age:   answer.Age,
		Page:  answer.Page,
		Era:   stored.Era(),
		Doubt: max(0, r.graceUntil-now),
	}
}

// answerNewerConfig returns the configuration in force here if it is newer than version.
func (r *peerServer) answerNewerConfig(stored *replica.Replica, version uint64) peerapi.Answer {
	if r.edge.configVersion() <= version {
		return peerapi.Answer{Era: stored.Era()}
	}
	return peerapi.Answer{Known: true, Era: stored.Era(), Page: stored.List("", bootTime()).Page}
}

// replaceConfig stores an encoded configuration that is newer than that of the store.
func (r *peerServer) replaceConfig(value json.RawMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicas[platform.KindConfig].ReplaceValue(platform.NameConfig, value)
}

// pageSize returns the approximate size of a page on the wire in bytes.
func pageSize(page objects.Page) int {
	bytes := 0
	for _, object := range page.Objects {
		bytes += len(object.Key) + len(object.Value)
	}
	return bytes
}

// recordPoll records a poll by a host, and returns the host that it should poll instead,
// the zero address for none.
func (r *peerServer) recordPoll(now time.Duration, host netip.AddrPort) netip.AddrPort {
	if !r.pollers.Serving(now) {
		notify(r.edge.control.firstPeerQuery)
	}
	return r.pollers.RecordPoll(now, host)
}

// StepAside implements peerlink.Handler.
func (r *peerServer) StepAside(query peerapi.StepAsideQuery) peerapi.StepAsideReply {
	now := r.edge.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.arbiter.RequestStepAside(now, query.From, r.pollers.Count(now)+1) {
		return peerapi.StepAsideReply{}
	}
	return peerapi.StepAsideReply{For: overload.AsideDuration}
}

// Report implements peerlink.Handler.
func (r *peerServer) Report(report peerapi.Report) { r.edge.control.reporter.receive(report) }

// Notify implements peerlink.Handler.
func (r *peerServer) Notify(notice peerapi.Notice) { r.edge.control.receiveNotice(notice) }

// serving reports whether other hosts polled this one recently.
func (r *peerServer) serving(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pollers.Serving(now)
}

// pollerCount returns the number of hosts that polled this one recently.
func (r *peerServer) pollerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pollers.Count(r.edge.now())
}

// pollerHosts returns the hosts that polled this one recently.
func (r *peerServer) pollerHosts() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pollers.Hosts(r.edge.now())
}

// close stops serving.
func (r *peerServer) close() { r.server.Close() }

// bootTime returns the time since the machine booted, suspensions included. The
// process's monotonic clock stops during a suspension and would report data read
// before it as younger than it is.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every Linux that Go runs on has this clock.
		panic(err)
	}
	return time.Duration(now.Nano())
}
