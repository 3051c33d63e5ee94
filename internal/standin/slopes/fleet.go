package slopes

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/control"
	"github.com/guavawharf/guavawharf/internal/protocol/rpcapi"
	"github.com/guavawharf/guavawharf/internal/state"
)

const (
	// fleetStep is the virtual time of one step; a message or an answer of the
	// platform arrives one step after it was sent.
	fleetStep     = 10 * time.Millisecond
	stepsPerTick  = int(control.TickInterval / fleetStep)
	maxFleetHosts = 2000
	// segmentOverhead is the IP and TCP headers of a call and of its answer,
	// each of which is acknowledged by the next.
	segmentOverhead = 2 * 40
)

// fleet is the control cores of many hosts in virtual time, joined by the same
// encoding as the daemons use. Nothing is lost.
type fleet struct {
	now    time.Time
	steps  int
	hosts  []*fleetHost
	byID   map[state.HostID]*fleetHost
	store  *fleetStore
	pipe   *pipe
	inbox  []delivery
	queued []delivery
	counts fleetCounts
}

// fleetHost is one core.
type fleetHost struct {
	host     state.Host
	core     *control.Machine
	snapshot *state.Snapshot
	// longest is the longest step of the core in processor time.
	longest time.Duration
	// bytes is the size of the host's calls and of the answers to them.
	bytes int64
}

// delivery is an event on its way to a host.
type delivery struct {
	to    *fleetHost
	event control.Event
}

// fleetCounts is what the hosts did and what that took, all hosts together.
type fleetCounts struct {
	messages int
	bytes    int64
	// stepping is the processor time in the cores, coding that of encoding and
	// decoding messages at both ends.
	stepping time.Duration
	coding   time.Duration
	calls    int
	writes   int
}

// newFleet boots hosts in each of the domains.
func newFleet(domains, hosts int, seed uint64) (*fleet, error) {
	if domains*hosts > maxFleetHosts {
		return nil, fmt.Errorf("%d hosts are more than %d", domains*hosts, maxFleetHosts)
	}
	f := &fleet{
		now:   virtualStart,
		byID:  make(map[state.HostID]*fleetHost),
		store: newFleetStore(),
		pipe:  newPipe(),
	}
	rpcapi.RegisterMessages(control.Messages()...)
	var seeds []state.Host
	for d := range domains {
		for n := range hosts {
			seeds = append(seeds, testHost(d, n))
		}
	}
	for i, host := range seeds {
		f.boot(host, nearSeeds(seeds, i), seed)
	}
	return f, nil
}

// seedCount is how many hosts a booting host is given to try.
const seedCount = 5

// nearSeeds returns some hosts from all over the list.
func nearSeeds(all []state.Host, self int) []state.Host {
	var chosen []state.Host
	for i := range seedCount {
		n := (self + 1 + i*len(all)/seedCount) % len(all)
		if n != self {
			chosen = append(chosen, all[n])
		}
	}
	return chosen
}

func (f *fleet) boot(host state.Host, seeds []state.Host, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(len(f.hosts))+10))
	h := &fleetHost{
		host: host,
		core: control.New(control.Settings{Self: host, Run: 1, Seeds: seeds}, random),
	}
	f.hosts = append(f.hosts, h)
	f.byID[host.ID] = h
}

// run lets virtual time pass.
func (f *fleet) run(d time.Duration) {
	for range int(d / fleetStep) {
		f.step()
	}
}

// until runs until the condition holds, and tells whether it did.
func (f *fleet) until(limit time.Duration, holds func() bool) bool {
	for range int(limit / fleetStep) {
		if holds() {
			return true
		}
		f.step()
	}
	return holds()
}

func (f *fleet) step() {
	f.now = f.now.Add(fleetStep)
	f.steps++
	f.inbox, f.queued = f.queued, f.inbox[:0]
	for _, d := range f.inbox {
		f.handle(d.to, d.event)
	}
	for i, h := range f.hosts {
		if i%stepsPerTick == f.steps%stepsPerTick {
			f.handle(h, control.Tick{})
		}
	}
	f.queued = f.store.expire(f.now, f.queued)
}

func (f *fleet) handle(h *fleetHost, event control.Event) {
	began := threadTime()
	actions := h.core.Step(f.now, event)
	took := threadTime() - began
	f.counts.stepping += took
	h.longest = max(h.longest, took)
	for _, action := range actions {
		switch a := action.(type) {
		case control.Send:
			f.send(h, a)
		case control.PlatformCall:
			f.call(h, a)
		case control.Publish:
			h.snapshot = a.Snapshot
		}
	}
}

func (f *fleet) send(from *fleetHost, a control.Send) {
	to := f.byID[a.To.ID]
	if to == nil {
		return
	}
	began := threadTime()
	envelope, size := f.pipe.pass(rpcapi.Envelope{Version: rpcapi.Version, From: from.host, Message: a.Message})
	f.counts.coding += threadTime() - began
	f.counts.messages++
	f.counts.bytes += int64(size) + segmentOverhead
	from.bytes += int64(size) + segmentOverhead
	event := control.MessageReceived{From: envelope.From, Message: envelope.Message.(messageType)}
	f.queued = append(f.queued, delivery{to: to, event: event})
}

func (f *fleet) call(h *fleetHost, a control.PlatformCall) {
	f.counts.calls++
	if isWrite(a.Call) {
		f.counts.writes++
	}
	f.queued = f.store.call(f.now, h, a, f.queued)
}

// pipe encodes and decodes calls as one net/rpc connection does, so that type
// descriptions pass once only.
type pipe struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
	calls   uint64
}

func newPipe() *pipe {
	p := &pipe{}
	p.encoder = gob.NewEncoder(&p.buffer)
	p.decoder = gob.NewDecoder(&p.buffer)
	return p
}

// pass returns the decoded envelope, and the bytes of the call and its answer.
func (p *pipe) pass(envelope rpcapi.Envelope) (rpcapi.Envelope, int) {
	p.calls++
	p.encode(rpc.Request{ServiceMethod: rpcapi.MethodDeliver, Seq: p.calls})
	p.encode(envelope)
	p.encode(rpc.Response{ServiceMethod: rpcapi.MethodDeliver, Seq: p.calls})
	p.encode(rpcapi.Ack{Accepted: true})
	size := p.buffer.Len()
	var received rpcapi.Envelope
	p.decode(&rpc.Request{})
	p.decode(&received)
	p.decode(&rpc.Response{})
	p.decode(&rpcapi.Ack{})
	return received, size
}

func (p *pipe) encode(v any) {
	if err := p.encoder.Encode(v); err != nil {
		panic(err)
	}
}

func (p *pipe) decode(v any) {
	if err := p.decoder.Decode(v); err != nil {
		panic(err)
	}
}

// resetCounts begins the counting anew.
func (f *fleet) resetCounts() {
	f.counts = fleetCounts{}
	for _, h := range f.hosts {
		h.bytes = 0
		h.longest = 0
	}
}

// busiest returns the most bytes of any host.
func (f *fleet) busiest() int64 {
	most := int64(0)
	for _, h := range f.hosts {
		most = max(most, h.bytes)
	}
	return most
}

// longestStep returns the longest step of any host.
func (f *fleet) longestStep() time.Duration {
	longest := time.Duration(0)
	for _, h := range f.hosts {
		longest = max(longest, h.longest)
	}
	return longest
}
