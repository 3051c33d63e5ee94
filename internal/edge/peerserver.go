package edge

import (
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/guavawharf/guavawharf/internal/coordination/follow"
	"github.com/guavawharf/guavawharf/internal/coordination/overload"
	"github.com/guavawharf/guavawharf/internal/coordination/peers"
	"github.com/guavawharf/guavawharf/internal/protocol/edgeapi"
	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/guavawharf/guavawharf/internal/state/replica"
	"github.com/guavawharf/guavawharf/internal/transport/netrpc"
	"github.com/guavawharf/guavawharf/internal/transport/peerlink"
)

// Bounds of one answer to another host in bytes.
const (
	// maxChangesSize is that of an answer about changes: 24 hosts that ask within the
	// same 2 s take up a fifth of a link of 10 Mbit/s at most.
	maxChangesSize = 20 << 10
	// maxListSize is that of a page of a list, which few hosts ask for at a time: those
	// that started while the store was away.
	maxListSize = 128 << 10
)

// peerServer answers other hosts what this one has read from the store.
type peerServer struct {
	edge   *Edge
	server *peerlink.Server

	mu       sync.Mutex
	replicas map[string]*replica.Replica
	askers   *peers.Askers
	turns    *overload.Turns
	// doubtUntil is when a missing entry means again that its target is gone.
	doubtUntil time.Duration
}

// listenPeers opens the address that other hosts ask at. Hosts that ask do so more
// often than once in the time within which changes take effect.
func listenPeers(e *Edge, kinds ...string) (*peerServer, error) {
	r := &peerServer{
		edge:     e,
		replicas: make(map[string]*replica.Replica),
		askers:   peers.NewAskers(max(e.settings.ChangeBound, e.settings.DrainBound)),
		turns:    overload.NewTurns(),
	}
	for _, kind := range kinds {
		r.replicas[kind] = replica.New()
	}
	var err error
	operators := netrpc.Service{Name: edgeapi.Service, Receiver: &operator{edge: e}}
	r.server, err = peerlink.Listen(e.settings.Control, r, operators)
	return r, err
}

// run answers until close.
func (r *peerServer) run() {
	if err := r.server.Serve(); err != nil {
		r.edge.log.Error("other hosts not answered", "error", err.Error())
	}
}

// update takes what a call brought and returns the objects that are news.
func (r *peerServer) update(kind string, change follow.Change, revision uint64) []objects.Object {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.replicas[kind]
	news := known.Put(change.Objects, revision)
	if change.Listed != nil {
		known.Keep(change.Listed, revision)
	}
	return news
}

// markCurrent notes that every change up to a revision is known, as of a time by bootTime.
func (r *peerServer) markCurrent(kind string, revision uint64, asOf time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicas[kind].Whole(revision, asOf)
}

// setDoubtUntil notes when a missing entry means again that its target is gone.
func (r *peerServer) setDoubtUntil(until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubtUntil = until
}

// Read implements peerlink.Reader.
func (r *peerServer) Read(query peerapi.Query) peerapi.Reply {
	if r.edge.leaving.Load() {
		return peerapi.Reply{}
	}
	now := r.edge.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := peerapi.Reply{Instead: r.recordAsker(now, query.From)}
	for _, read := range query.Reads {
		reply.Answers = append(reply.Answers, r.answerRead(now, read))
	}
	return reply
}

// answerRead tells what is known of a kind.
func (r *peerServer) answerRead(now time.Duration, read peerapi.Read) peerapi.Answer {
	known := r.replicas[read.Kind]
	if known == nil {
		return peerapi.Answer{}
	}
	answer, limit := known.Since(read.After, bootTime()), maxChangesSize
	if read.List {
		answer, limit = known.List(read.Key, bootTime()), maxListSize
	}
	r.edge.metrics.countPeerRead(answer.Known)
	if pageSize(answer.Page) > limit {
		return peerapi.Answer{TooLarge: true}
	}
	return peerapi.Answer{
		Known: answer.Known,
		Age:   answer.Age,
		Page:  answer.Page,
		Doubt: max(0, r.doubtUntil-now),
	}
}

// pageSize is about what a page takes on the wire, in bytes.
func pageSize(page objects.Page) int {
	bytes := 0
	for _, object := range page.Objects {
		bytes += len(object.Key) + len(object.Value)
	}
	return bytes
}

// recordAsker remembers that a host asked and returns the host that it is to ask instead.
func (r *peerServer) recordAsker(now time.Duration, host netip.AddrPort) netip.AddrPort {
	if !r.askers.Serving(now) {
		notify(r.edge.control.firstPeerQuery)
	}
	return r.askers.Note(now, host)
}

// StepAside implements peerlink.Reader.
func (r *peerServer) StepAside(query peerapi.AsideQuery) peerapi.AsideReply {
	now := r.edge.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.turns.May(now, query.From, r.askers.Count(now)+1) {
		return peerapi.AsideReply{}
	}
	return peerapi.AsideReply{For: overload.AsideFor}
}

// serving tells whether other hosts asked lately.
func (r *peerServer) serving(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.askers.Serving(now)
}

// askerCount is the number of hosts that asked lately.
func (r *peerServer) askerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.askers.Count(r.edge.now())
}

// askedBy returns the hosts that asked lately.
func (r *peerServer) askedBy() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.askers.Hosts(r.edge.now())
}

// close ends the answers.
func (r *peerServer) close() { r.server.Close() }

// bootTime is the time since the machine's start, its suspensions included: what was
// read before a suspension is older than the process's own clock tells.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every Linux that Go runs on has this clock.
		panic(err)
	}
	return time.Duration(now.Nano())
}
