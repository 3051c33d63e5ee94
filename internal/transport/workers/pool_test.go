package workers

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/protocol/packet"
	"github.com/guavawharf/guavawharf/internal/protocol/relaywire"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/transport/udp"
)

const (
	peerID state.HostID = "b1"
	// serviceNumber is the service that the test packets address.
	serviceNumber state.ServiceNumber = 7
	// maxRecords is the largest number of record messages that a test may send.
	maxRecords = 4096
	// handOverCallsNeeded is the number of calls of HandOverRecords until the fake
	// engine is done.
	handOverCallsNeeded = 3
)

// fakeEngine is an Engine whose decisions come from the decide function.
type fakeEngine struct {
	decide        func(*traffic.Packet) traffic.Decision
	records       chan relay.Header
	handOverCalls int
	resumed       atomic.Int64
}

func (f *fakeEngine) Handle(_ time.Time, _ *state.Snapshot, p *traffic.Packet) traffic.Decision {
	return f.decide(p)
}

func (f *fakeEngine) HandleRecord(_ time.Time, _ *state.Snapshot, h relay.Header) {
	f.records <- h
}

func (f *fakeEngine) HandleResume(time.Time, *state.Snapshot) { f.resumed.Add(1) }

func (f *fakeEngine) Sweep(time.Time, *state.Snapshot, int) []traffic.RecordMessage { return nil }

func (f *fakeEngine) HandOverRecords(time.Time, *state.Snapshot, int) ([]traffic.RecordMessage, bool) {
	f.handOverCalls++
	header := relay.Header{Kind: relay.KindRecord}
	return []traffic.RecordMessage{{To: peerID, Header: header}}, f.handOverCalls == handOverCallsNeeded
}

func (f *fakeEngine) Len() int { return 1 }

// testPool is a pool with the sockets around it.
type testPool struct {
	pool   *Pool
	engine *fakeEngine
	// fabricPeer is the socket that acts as the fabric, the target and the return
	// address.
	fabricPeer *udp.Socket
	// peer is another entry host's relay socket.
	peer       *udp.Socket
	handedOver chan struct{}
}

func listen(t *testing.T) *udp.Socket {
	t.Helper()
	socket, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// newTestPool starts a pool whose engine decides by the given function, or forwards.
func newTestPool(t *testing.T, decide func(*traffic.Packet) traffic.Decision) *testPool {
	t.Helper()
	return newTestPoolWithClock(t, time.Now, decide)
}

// newTestPoolWithClock is newTestPool with the given clock.
func newTestPoolWithClock(t *testing.T, now func() time.Time, decide func(*traffic.Packet) traffic.Decision) *testPool {
	t.Helper()
	b := &testPool{
		engine:     &fakeEngine{records: make(chan relay.Header, maxRecords)},
		fabricPeer: listen(t),
		peer:       listen(t),
		handedOver: make(chan struct{}, 2),
	}
	b.engine.decide = decide
	if decide == nil {
		b.engine.decide = func(*traffic.Packet) traffic.Decision { return b.forward() }
	}
	var err error
	b.pool, err = New(Settings{
		Fabric:            listen(t),
		Relay:             listen(t),
		Return:            b.fabricPeer.Address(),
		Engines:           []Engine{b.engine},
		RecordsHandedOver: func() { b.handedOver <- struct{}{} },
		Now:               now,
	})
	require.NoError(t, err)
	peer := state.Host{ID: peerID, Relay: b.peer.Address()}
	address := state.ServiceAddress{Protocol: state.TCP, Address: netip.MustParseAddrPort("198.51.100.1:443")}
	b.pool.Publish(&state.Snapshot{
		Services: map[state.ServiceAddress]*state.ServiceEntry{
			address: {Service: state.Service{Number: serviceNumber}},
		},
		View: state.MembershipView{Members: []state.Member{{Host: peer}}},
	})
	b.pool.Start()
	t.Cleanup(b.pool.Close)
	return b
}

func (b *testPool) forward() traffic.Decision {
	target := &state.TargetEntry{Target: state.Target{Address: b.fabricPeer.Address()}}
	return traffic.Decision{Action: traffic.ActionForward, Target: target}
}

func send(from *udp.Socket, to netip.AddrPort, datagrams ...[]byte) {
	writer := udp.NewWriter(from)
	for _, datagram := range datagrams {
		writer.Add(datagram, to)
	}
	writer.Flush()
}

type testBuffer []byte

func (s testBuffer) Bytes() []byte { return s }

// receive reads datagrams until count have arrived.
func receive(t *testing.T, socket *udp.Socket, count int) []udp.Datagram[testBuffer] {
	t.Helper()
	var got []udp.Datagram[testBuffer]
	reader := udp.NewReader(socket, func() testBuffer { return make(testBuffer, 2*MaxPacketSize) })
	for len(got) < count {
		require.NoError(t, reader.Read(func(d udp.Datagram[testBuffer]) bool {
			got = append(got, d)
			return true
		}))
	}
	return got
}

func (b *testPool) counter(t *testing.T, name string) int64 {
	t.Helper()
	for _, counter := range b.pool.Counters() {
		if counter.Name == name {
			return counter.Value
		}
	}
	t.Fatalf("no counter %q", name)
	return 0
}

func opening(t testing.TB, port uint16) []byte {
	t.Helper()
	return segment(t, port, true)
}

// segment returns a TCP packet of a caller, either a SYN or a mid-flow ACK.
func segment(t testing.TB, port uint16, syn bool) []byte {
	t.Helper()
	network := &layers.IPv4{
		Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: net.IP{192, 0, 2, 1}, DstIP: net.IP{198, 51, 100, 1},
	}
	tcp := &layers.TCP{SrcPort: layers.TCPPort(port), DstPort: 443, SYN: syn, ACK: !syn}
	require.NoError(t, tcp.SetNetworkLayerForChecksum(network))
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	require.NoError(t, gopacket.SerializeLayers(buffer, options, network, tcp))
	return buffer.Bytes()
}

func TestForwardedPacketsAreUnchanged(t *testing.T) {
	b := newTestPool(t, nil)
	data := opening(t, 40000)
	send(b.fabricPeer, b.pool.settings.Fabric.Address(), data)
	got := receive(t, b.fabricPeer, 1)[0]
	require.Equal(t, data, []byte(got.Buffer[:got.Size]))
	require.Equal(t, int64(1), b.counter(t, "forwarded"))
}

func TestRelayedPacketsCarryTheHeader(t *testing.T) {
	header := relay.Header{Kind: relay.KindPacket, Hops: 1, Service: serviceNumber}
	b := newTestPool(t, func(*traffic.Packet) traffic.Decision {
		return traffic.Decision{Action: traffic.ActionRelay, To: peerID, Header: header}
	})
	data := opening(t, 40000)
	send(b.fabricPeer, b.pool.settings.Fabric.Address(), data)
	got := receive(t, b.peer, 1)[0]
	require.Equal(t, relaywire.Append(nil, header, data), []byte(got.Buffer[:got.Size]))
	require.Equal(t, b.pool.settings.Relay.Address(), got.From)
}

func TestRelayedPacketsReachTheEngineWithTheirHeader(t *testing.T) {
	header := relay.Header{Kind: relay.KindPacket, Hops: relay.MaxHops, Service: serviceNumber}
	seen := make(chan traffic.Packet, 1)
	b := newTestPool(t, func(p *traffic.Packet) traffic.Decision {
		seen <- *p
		return traffic.Decision{Action: traffic.ActionDrop}
	})
	datagram := relaywire.Append(nil, header, opening(t, 40000))
	send(b.peer, b.pool.settings.Relay.Address(), datagram)
	p := <-seen
	require.True(t, p.Relayed)
	require.Equal(t, header, p.Relay)
}

func TestRecordMessagesReachTheEngine(t *testing.T) {
	b := newTestPool(t, nil)
	header := relay.Header{Kind: relay.KindRecord, Fingerprint: state.Fingerprint{High: 3, Low: 4}}
	send(b.peer, b.pool.settings.Relay.Address(), relaywire.Append(nil, header, nil))
	require.Equal(t, header, <-b.engine.records)
}

func TestRefusalsGoToTheReturnAddress(t *testing.T) {
	b := newTestPool(t, func(*traffic.Packet) traffic.Decision {
		return traffic.Decision{Action: traffic.ActionRefuse, RetryAfter: time.Second}
	})
	send(b.fabricPeer, b.pool.settings.Fabric.Address(), opening(t, 40000))
	got := receive(t, b.fabricPeer, 1)[0]
	refusal, ok := packet.ParseRefusal(got.Buffer[:got.Size])
	require.True(t, ok)
	require.Equal(t, time.Second, refusal.RetryAfter)
	require.Equal(t, uint16(40000), refusal.Key.Caller.Port())
	require.Equal(t, int64(1), b.pool.Refused(serviceNumber))
}

func TestInvalidDatagramsAreCountedAndTheNextOneIsServed(t *testing.T) {
	data := opening(t, 40000)
	header := relay.Header{Kind: relay.KindPacket}
	tooManyHops := relay.Header{Kind: relay.KindPacket, Hops: relay.MaxHops + 1}
	tests := []struct {
		counter   string
		relay     bool
		nonMember bool
		datagram  []byte
	}{
		{counter: "packet_truncated", datagram: data[:25]},
		{counter: "packet_ip_version", datagram: []byte{0x10, 0, 0, 0}},
		{counter: "packet_too_long", datagram: make([]byte, MaxPacketSize+1)},
		{counter: "relay_not_a_member", relay: true, nonMember: true, datagram: relaywire.Append(nil, header, data)},
		{counter: "relay_too_many_hops", relay: true, datagram: relaywire.Append(nil, tooManyHops, data)},
		{counter: "relay_version", relay: true, datagram: make([]byte, relay.HeaderSize)},
		{counter: "relay_short", relay: true, datagram: []byte{relay.Version}},
		{counter: "packet_truncated", relay: true, datagram: relaywire.Append(nil, header, data[:25])},
	}
	for _, test := range tests {
		t.Run(test.counter, func(t *testing.T) {
			b := newTestPool(t, nil)
			from, to := b.fabricPeer, b.pool.settings.Fabric.Address()
			valid := data
			if test.relay {
				to = b.pool.settings.Relay.Address()
			}
			if test.relay && !test.nonMember {
				from = b.peer
			}
			send(from, to, test.datagram)
			if test.relay {
				from, valid = b.peer, relaywire.Append(nil, header, data)
			}
			send(from, to, valid)
			got := receive(t, b.fabricPeer, 1)[0]
			require.Equal(t, data, []byte(got.Buffer[:got.Size]))
			require.Equal(t, int64(1), b.counter(t, test.counter))
			require.Equal(t, int64(1), b.counter(t, "forwarded"))
		})
	}
}

// Repeated calls of HandOverRecords must not start the handover again.
func TestHandOverIsReportedOnce(t *testing.T) {
	b := newTestPool(t, nil)
	b.pool.HandOverRecords()
	b.pool.HandOverRecords()
	<-b.handedOver
	for _, got := range receive(t, b.peer, handOverCallsNeeded) {
		require.Equal(t, relay.HeaderSize, got.Size)
	}
	b.pool.HandOverRecords()
	require.Zero(t, b.pool.shardsHandingOver.Load())
}

func TestEveryCounterHasAUniqueName(t *testing.T) {
	seen := make(map[string]bool)
	for _, counter := range newTestPool(t, nil).pool.Counters() {
		require.NotEmpty(t, counter.Name)
		require.False(t, seen[counter.Name], counter.Name)
		seen[counter.Name] = true
	}
}
