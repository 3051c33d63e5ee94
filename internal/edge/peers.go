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
	// maxChanges is that of an answer about changes: 24 hosts that ask within the
	// same 2 s take up a fifth of a link of 10 Mbit/s at most.
	maxChanges = 20 << 10
	// maxList is that of a page of a list, which few hosts ask for at a time: those
	// that started while the store was away.
	maxList = 128 << 10
)

// reads answers other hosts what this one has read from the store.
type reads struct {
	edge   *Edge
	server *peerlink.Server

	mu       sync.Mutex
	replicas map[string]*replica.Replica
	askers   *peers.Pollers
	turns    *overload.Arbiter
	// doubtUntil is when a missing entry means again that its target is gone.
	doubtUntil time.Duration
}

// openReads opens the address that other hosts ask at. Hosts that ask do so more
// often than once in the time within which changes take effect.
func openReads(e *Edge, kinds ...string) (*reads, error) {
	r := &reads{
		edge:     e,
		replicas: make(map[string]*replica.Replica),
		askers:   peers.NewPollers(max(e.settings.ChangeBound, e.settings.DrainBound)),
		turns:    overload.NewArbiter(),
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
func (r *reads) run() {
	if err := r.server.Serve(); err != nil {
		r.edge.log.Error("other hosts not answered", "error", err.Error())
	}
}

// put takes what a call brought and returns the objects that are news.
func (r *reads) put(kind string, change follow.Change, revision uint64) []objects.Object {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.replicas[kind]
	news := known.Put(change.Objects, revision)
	if change.AllKeys != nil {
		known.Keep(change.AllKeys, revision)
	}
	return news
}

// whole notes that every change up to a revision is known, as of a time by bootTime.
func (r *reads) whole(kind string, revision uint64, asOf time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicas[kind].Whole(revision, asOf)
}

// doubt notes when a missing entry means again that its target is gone.
func (r *reads) doubt(until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubtUntil = until
}

// Read implements peerlink.Reader.
func (r *reads) Read(query peerapi.Query) peerapi.Reply {
	if r.edge.leaving.Load() {
		return peerapi.Reply{}
	}
	now := r.edge.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := peerapi.Reply{Instead: r.note(now, query.From)}
	for _, read := range query.Reads {
		reply.Answers = append(reply.Answers, r.answer(now, read))
	}
	return reply
}

// answer tells what is known of a kind.
func (r *reads) answer(now time.Duration, read peerapi.Read) peerapi.Answer {
	known := r.replicas[read.Kind]
	if known == nil {
		return peerapi.Answer{}
	}
	answer, limit := known.Since(read.After, bootTime()), maxChanges
	if read.List {
		answer, limit = known.List(read.Key, bootTime()), maxList
	}
	r.edge.metrics.question(answer.Known)
	if size(answer.Page) > limit {
		return peerapi.Answer{TooLarge: true}
	}
	return peerapi.Answer{
		Known: answer.Known,
		Age:   answer.Age,
		Page:  answer.Page,
		Doubt: max(0, r.doubtUntil-now),
	}
}

// size is about what a page takes on the wire, in bytes.
func size(page objects.Page) int {
	bytes := 0
	for _, object := range page.Objects {
		bytes += len(object.Key) + len(object.Value)
	}
	return bytes
}

// note remembers that a host asked and returns the host that it is to ask instead.
func (r *reads) note(now time.Duration, host netip.AddrPort) netip.AddrPort {
	if !r.askers.Serving(now) {
		signal(r.edge.control.asked)
	}
	return r.askers.RecordPoll(now, host)
}

// StepAside implements peerlink.Reader.
func (r *reads) StepAside(query peerapi.AsideQuery) peerapi.AsideReply {
	now := r.edge.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.turns.RequestStepAside(now, query.From, r.askers.Count(now)+1) {
		return peerapi.AsideReply{}
	}
	return peerapi.AsideReply{For: overload.AsideDuration}
}

// serving tells whether other hosts asked lately.
func (r *reads) serving(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.askers.Serving(now)
}

// askersCount is the number of hosts that asked lately.
func (r *reads) askersCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.askers.Count(r.edge.now())
}

// askedBy returns the hosts that asked lately.
func (r *reads) askedBy() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.askers.Hosts(r.edge.now())
}

// close ends the answers.
func (r *reads) close() { r.server.Close() }

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
