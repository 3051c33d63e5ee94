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
	// fleetStep is the virtual time of one step. A message or a platform answer
	// arrives one step after it was sent.
	fleetStep     = 10 * time.Millisecond
	stepsPerTick  = int(control.TickInterval / fleetStep)
	maxFleetHosts = 2000
	// segmentOverhead is the size of the IP and TCP headers of a call and of its
	// answer. No bare ACKs are counted, since each segment acknowledges
	// the previous one.
	segmentOverhead = 2 * 40
)

// fleet runs the control cores of many hosts in virtual time. Messages pass through
// the encoding that the daemons use, and none is lost.
type fleet struct {
	now      time.Time
	steps    int
	hosts    []*fleetHost
	byID     map[state.HostID]*fleetHost
	platform *platformStub
	codec    *codec
	arriving []delivery
	queued   []delivery
	counts   fleetCounts
}

// fleetHost is one host with its control core.
type fleetHost struct {
	host     state.Host
	core     *control.Machine
	snapshot *state.Snapshot
	// longestStep is the longest step of the core in CPU time.
	longestStep time.Duration
	// bytes is the size of the host's calls and of the answers to them.
	bytes int64
}

// delivery is an event that a host handles in the next step.
type delivery struct {
	to    *fleetHost
	event control.Event
}

// fleetCounts are totals over all hosts.
type fleetCounts struct {
	messages int
	bytes    int64
	// stepping is the CPU time of the cores, coding the CPU time of encoding and
	// decoding messages at both ends.
	stepping time.Duration
	coding   time.Duration
	calls    int
	writes   int
}

// newFleet returns a fleet with the given number of hosts in each domain.
func newFleet(domains, hosts int, seed uint64) (*fleet, error) {
	if domains*hosts > maxFleetHosts {
		return nil, fmt.Errorf("%d hosts are more than %d", domains*hosts, maxFleetHosts)
	}
	f := &fleet{
		now:      virtualStart,
		byID:     make(map[state.HostID]*fleetHost),
		platform: newPlatformStub(),
		codec:    newCodec(),
	}
	rpcapi.RegisterMessages(control.Messages()...)
	var seeds []state.Host
	for d := range domains {
		for n := range hosts {
			seeds = append(seeds, testHost(d, n))
		}
	}
	for i, host := range seeds {
		f.addHost(host, selectSeeds(seeds, i), seed)
	}
	return f, nil
}

// seedCount is the number of seeds given to each host.
const seedCount = 5

// selectSeeds returns up to seedCount hosts spread evenly over the list, without the
// host itself. A short list can give a host twice.
func selectSeeds(all []state.Host, self int) []state.Host {
	var chosen []state.Host
	for i := range seedCount {
		n := (self + 1 + i*len(all)/seedCount) % len(all)
		if n != self {
			chosen = append(chosen, all[n])
		}
	}
	return chosen
}

func (f *fleet) addHost(host state.Host, seeds []state.Host, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(len(f.hosts))+10))
	h := &fleetHost{
		host: host,
		core: control.New(control.Settings{Self: host, Run: 1, Seeds: seeds}, random),
	}
	f.hosts = append(f.hosts, h)
	f.byID[host.ID] = h
}

// run advances virtual time by d.
func (f *fleet) run(d time.Duration) {
	for range int(d / fleetStep) {
		f.step()
	}
}

// runUntil advances virtual time until the condition holds or the limit is reached,
// and reports whether the condition holds.
func (f *fleet) runUntil(limit time.Duration, holds func() bool) bool {
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
	f.arriving, f.queued = f.queued, f.arriving[:0]
	for _, d := range f.arriving {
		f.handle(d.to, d.event)
	}
	for i, h := range f.hosts {
		if i%stepsPerTick == f.steps%stepsPerTick {
			f.handle(h, control.Tick{})
		}
	}
	f.queued = f.platform.expireWatches(f.now, f.queued)
}

func (f *fleet) handle(h *fleetHost, event control.Event) {
	began := threadCPUTime()
	actions := h.core.Step(f.now, event)
	took := threadCPUTime() - began
	f.counts.stepping += took
	h.longestStep = max(h.longestStep, took)
	for _, action := range actions {
		switch a := action.(type) {
		case control.Send:
			f.send(h, a)
		case control.PlatformCall:
			f.callPlatform(h, a)
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
	began := threadCPUTime()
	envelope, size := f.codec.roundTrip(rpcapi.Envelope{Version: rpcapi.Version, From: from.host, Message: a.Message})
	f.counts.coding += threadCPUTime() - began
	f.counts.messages++
	f.counts.bytes += int64(size) + segmentOverhead
	from.bytes += int64(size) + segmentOverhead
	event := control.MessageReceived{From: envelope.From, Message: envelope.Message.(messageType)}
	f.queued = append(f.queued, delivery{to: to, event: event})
}

func (f *fleet) callPlatform(h *fleetHost, a control.PlatformCall) {
	f.counts.calls++
	if isWrite(a.Call) {
		f.counts.writes++
	}
	f.queued = f.platform.call(f.now, h, a, f.queued)
}

// codec encodes and decodes calls like one net/rpc connection, so that gob sends
// each type description only once.
type codec struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
	calls   uint64
}

func newCodec() *codec {
	p := &codec{}
	p.encoder = gob.NewEncoder(&p.buffer)
	p.decoder = gob.NewDecoder(&p.buffer)
	return p
}

// roundTrip encodes and decodes a call and its answer. It returns the decoded
// envelope and the size of both in bytes.
func (p *codec) roundTrip(envelope rpcapi.Envelope) (rpcapi.Envelope, int) {
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

func (p *codec) encode(v any) {
	if err := p.encoder.Encode(v); err != nil {
		panic(err)
	}
}

func (p *codec) decode(v any) {
	if err := p.decoder.Decode(v); err != nil {
		panic(err)
	}
}

// resetCounts sets all counts to zero.
func (f *fleet) resetCounts() {
	f.counts = fleetCounts{}
	for _, h := range f.hosts {
		h.bytes = 0
		h.longestStep = 0
	}
}

// maxHostBytes returns the bytes of the host that has most.
func (f *fleet) maxHostBytes() int64 {
	most := int64(0)
	for _, h := range f.hosts {
		most = max(most, h.bytes)
	}
	return most
}

// longestStep returns the longest step of any host in CPU time.
func (f *fleet) longestStep() time.Duration {
	longest := time.Duration(0)
	for _, h := range f.hosts {
		longest = max(longest, h.longestStep)
	}
	return longest
}
