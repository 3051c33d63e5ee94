package workers

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/lookup"
	"github.com/guavawharf/guavawharf/internal/transport/udp"
)

const (
	benchShards = 4
	benchFlows  = 4096
	// manyFlows is the number of open flows that one host must be able to hold.
	manyFlows = 500_000
	// maxFlowMemory is the required bound of the memory for manyFlows in bytes.
	maxFlowMemory = manyFlows * 100
	benchPayload  = 512
	// benchBurst is the number of packets in the socket's buffer when a measurement
	// starts.
	benchBurst = 1024
)

// benchSnapshot has one host, which therefore owns every flow, and 14 targets at one
// address.
func benchSnapshot(target netip.AddrPort) *state.Snapshot {
	service := state.Service{
		ID: "s", Number: 1, Customer: "c", Protocol: state.TCP,
		Address: netip.MustParseAddrPort("198.51.100.1:443"), IdleTimeout: time.Hour,
	}
	for i := range 14 {
		service.Targets = append(service.Targets, state.Target{
			ID: state.TargetID(rune('a' + i)), Number: state.TargetNumber(i + 2),
			Address: target, Weight: 1, Slots: 3, Connections: manyFlows,
		})
	}
	entry := lookup.NextEntry(nil, service, 1)
	self := state.Host{ID: "a1", Domain: "a"}
	snapshot := &state.Snapshot{
		Self: self, Ready: true, Version: 1,
		Customers: []state.Customer{{ID: "c", Weight: 1}},
		Services:  map[state.ServiceAddress]*state.ServiceEntry{{Protocol: state.TCP, Address: service.Address}: entry},
		Targets:   make(map[state.TargetNumber]*state.TargetEntry),
		View:      state.MembershipView{Members: []state.Member{{Host: self}}},
	}
	for _, target := range entry.TargetEntries {
		snapshot.Targets[target.Number] = target
	}
	return snapshot
}

// benchPacket returns a packet of the n-th flow.
func benchPacket(b *testing.B, n int, tcp layers.TCP) []byte {
	network := &layers.IPv4{
		Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: net.IP{192, 0, 2, byte(n >> 8)}, DstIP: net.IP{198, 51, 100, 1},
	}
	tcp.SrcPort, tcp.DstPort = layers.TCPPort(1024+n), 443
	require.NoError(b, tcp.SetNetworkLayerForChecksum(network))
	var payload []byte
	if !tcp.SYN {
		payload = make([]byte, benchPayload)
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	require.NoError(b, gopacket.SerializeLayers(buffer, options, network, &tcp, gopacket.Payload(payload)))
	return buffer.Bytes()
}

// forwardPath forwards packets from a fabric socket to the sink.
type forwardPath struct {
	fabric *udp.Socket
	// serve reads up to a batch from the socket, forwards it and returns the number
	// of packets.
	serve func() int
	// finish waits until all packets that serve read are forwarded.
	finish func()
	// wall and cpu are the elapsed and the processor time spent in serve and finish.
	wall time.Duration
	cpu  time.Duration
}

// measure forwards count packets and adds the time spent to wall and cpu.
func (p *forwardPath) measure(count int) {
	cpu, start := processTime(), time.Now()
	for served := 0; served < count; {
		served += p.serve()
	}
	p.finish()
	p.wall += time.Since(start)
	p.cpu += processTime() - cpu
}

// processTime returns the processor time used by this process. Nothing else
// runs in it while a path is measured.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// forwardBench holds the sockets on both sides of the paths.
type forwardBench struct {
	source *udp.Writer
	sink   *udp.Socket
	drain  *udp.Reader[testBuffer]
	data   [][]byte
}

// run sends a burst through the path. Only the path is measured, not the source and
// the sink.
func (f *forwardBench) run(p *forwardPath, burst [][]byte) {
	for _, data := range burst {
		f.source.Add(data, p.fabric.Address())
	}
	f.source.Flush()
	p.measure(len(burst))
	for received := 0; received < len(burst); {
		_ = f.drain.Read(func(udp.Datagram[testBuffer]) bool {
			received++
			return false
		})
	}
}

func benchListen(b *testing.B) *udp.Socket {
	socket, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(b, err)
	b.Cleanup(func() { _ = socket.Close() })
	return socket
}

func newForwardBench(b *testing.B) *forwardBench {
	f := &forwardBench{source: udp.NewWriter(benchListen(b)), sink: benchListen(b)}
	f.drain = udp.NewReader(f.sink, func() testBuffer { return make(testBuffer, MaxPacketSize) })
	for n := range benchFlows {
		f.data = append(f.data, benchPacket(b, n, layers.TCP{ACK: true, Seq: 2, Ack: 1}))
	}
	return f
}

// plainPath only receives and sends batches; it is the baseline.
func (f *forwardBench) plainPath(b *testing.B) *forwardPath {
	fabric := benchListen(b)
	writer := udp.NewWriter(fabric)
	reader := udp.NewReader(fabric, func() testBuffer { return make(testBuffer, MaxPacketSize) })
	to := f.sink.Address()
	serve := func() int {
		count := 0
		_ = reader.Read(func(d udp.Datagram[testBuffer]) bool {
			writer.Add(d.Buffer[:d.Size], to)
			count++
			return false
		})
		writer.Flush()
		return count
	}
	return &forwardPath{fabric: fabric, serve: serve, finish: func() {}}
}

// newBenchEngines returns one engine for each shard.
func newBenchEngines(maxRecords int) []Engine {
	engines := make([]Engine, benchShards)
	for i := range engines {
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		engines[i] = traffic.NewEngine(traffic.Settings{MaxRecords: maxRecords}, rng)
	}
	return engines
}

// guavadPath is the packet path of guavad with every flow already open. If pooled, the
// shards run on the pool's workers, otherwise on the reader's goroutine.
func (f *forwardBench) guavadPath(b *testing.B, pooled bool) *forwardPath {
	fabric := benchListen(b)
	clock := time.Now()
	pool, err := New(Settings{
		Fabric: fabric, Relay: benchListen(b), Return: f.sink.Address(),
		Engines: newBenchEngines(2 * benchFlows),
		Now:     func() time.Time { return clock },
	})
	require.NoError(b, err)
	pool.Publish(benchSnapshot(f.sink.Address()))
	var running chan struct{}
	pool.launch = func(work func()) error {
		work()
		return nil
	}
	if pooled {
		running = make(chan struct{}, benchBurst)
		pool.launch = func(work func()) error {
			return pool.workers.Submit(func() {
				work()
				running <- struct{}{}
			})
		}
	}
	p := &forwardPath{fabric: fabric, finish: func() {
		if pooled {
			waitIdle(pool, running)
		}
	}}
	p.serve = func() int {
		before := pool.fabric.dispatcher.counts.events[EventReceived].Load()
		_ = pool.fabric.reader.Read(pool.fabric.handle)
		pool.fabric.dispatcher.flush()
		return int(pool.fabric.dispatcher.counts.events[EventReceived].Load() - before)
	}
	f.open(b, p, pool, &clock)
	return p
}

// waitIdle waits until no worker is active.
func waitIdle(p *Pool, running <-chan struct{}) {
	for _, s := range p.shards {
		for s.queue.busy() {
			<-running
		}
	}
}

// busy reports whether a worker is active.
func (q *queue) busy() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.workerActive
}

// open opens every flow. It first advances the clock by a minute, past the SettleTime of
// the engines.
func (f *forwardBench) open(b *testing.B, p *forwardPath, pool *Pool, clock *time.Time) {
	for _, s := range pool.shards {
		s.queue.requestSweep()
		s.run()
	}
	*clock = clock.Add(time.Minute)
	for n := 0; n < benchFlows; n += benchBurst {
		var burst [][]byte
		for i := range benchBurst {
			burst = append(burst, benchPacket(b, n+i, layers.TCP{SYN: true, Seq: 1}))
		}
		f.run(p, burst)
	}
	require.Equal(b, benchFlows, pool.Flows())
	p.wall, p.cpu = 0, 0
}

// BenchmarkForward measures guavad's path and a plain forwarding loop in alternating
// bursts and reports the processor time that each spends per packet.
func BenchmarkForward(b *testing.B) {
	for name, pooled := range map[string]bool{"inline": false, "pooled": true} {
		b.Run(name, func(b *testing.B) {
			f := newForwardBench(b)
			plain, guavad := f.plainPath(b), f.guavadPath(b, pooled)
			packets := 0
			for b.Loop() {
				at := packets % benchFlows
				burst := f.data[at : at+benchBurst]
				f.run(plain, burst)
				f.run(guavad, burst)
				packets += benchBurst
			}
			b.ReportMetric(float64(plain.cpu.Nanoseconds())/float64(packets), "plain-cpu-ns/packet")
			b.ReportMetric(float64(guavad.cpu.Nanoseconds())/float64(packets), "guavad-cpu-ns/packet")
			b.ReportMetric(float64(guavad.cpu)/float64(plain.cpu), "cpu-ratio")
			b.ReportMetric(float64(guavad.wall)/float64(plain.wall), "wall-ratio")
		})
	}
}

// TestMemoryOfManyFlows opens manyFlows flows in the engines of all shards and checks
// that the heap grows by no more than maxFlowMemory.
func TestMemoryOfManyFlows(t *testing.T) {
	snapshot := benchSnapshot(netip.MustParseAddrPort("127.0.0.1:9"))
	before := heapInUse()
	engines := newBenchEngines(manyFlows / benchShards * 5 / 4)
	now := time.Unix(1_700_000_000, 0)
	for _, engine := range engines {
		engine.Sweep(now, snapshot, SweepBudget)
	}
	now = now.Add(time.Minute)
	for n := range manyFlows {
		p := benchOpening(n)
		engine := engines[p.Fingerprint.High%benchShards]
		if d := engine.Handle(now, snapshot, &p); d.Action != traffic.ActionForward {
			t.Fatalf("flow %d: action %d, reason %s", n, d.Action, d.Reason)
		}
	}
	used := heapInUse() - before
	t.Logf("%d bytes for %d flows", used, manyFlows)
	require.LessOrEqual(t, used, uint64(maxFlowMemory))
	runtime.KeepAlive(engines)
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// benchOpening returns the opening of the n-th flow.
func benchOpening(n int) traffic.Packet {
	caller := netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
	key := state.FlowKey{
		Protocol: state.TCP,
		Caller:   netip.AddrPortFrom(caller, 4000),
		Service:  netip.MustParseAddrPort("198.51.100.1:443"),
	}
	return traffic.Packet{Key: key, Fingerprint: key.Fingerprint(), Kind: traffic.KindSYN, Size: 60}
}

// Sizes of the planned deployment.
const (
	plannedHosts    = 5_200
	plannedServices = 3_600
)

// plannedSnapshot returns a snapshot with the planned hosts and services.
func plannedSnapshot() *state.Snapshot {
	snapshot := &state.Snapshot{Version: 1, Services: make(map[state.ServiceAddress]*state.ServiceEntry)}
	for i := range plannedHosts {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 6081)
		host := state.Host{ID: state.HostID(fmt.Sprint("host-", i)), Relay: address}
		snapshot.View.Members = append(snapshot.View.Members, state.Member{Host: host})
	}
	for i := range plannedServices {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(i >> 8), byte(i)}), 443)
		key := state.ServiceAddress{Protocol: state.TCP, Address: address}
		snapshot.Services[key] = &state.ServiceEntry{}
	}
	return snapshot
}

// BenchmarkPublish measures Publish of a snapshot in which only target health changed.
func BenchmarkPublish(b *testing.B) {
	snapshot := plannedSnapshot()
	p := new(Pool)
	p.routes.Store(new(Routes).next(snapshot))
	b.ReportAllocs()
	for b.Loop() {
		p.Publish(snapshot)
	}
}
