package upstream

import (
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/standin/exchange"
	"github.com/guavawharf/guavawharf/internal/standin/platform"
	"github.com/guavawharf/guavawharf/internal/standin/wire"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

var (
	service      = netip.MustParseAddrPort("198.51.100.10:53")
	otherService = netip.MustParseAddrPort("198.51.100.11:53")
)

// targetHarness runs one target and receives its answers on returnSocket.
type targetHarness struct {
	t            *testing.T
	fleet        *Fleet
	target       *Target
	returnSocket *net.UDPConn
}

func newTargetHarness(t *testing.T, change func(*Options)) *targetHarness {
	t.Helper()
	returnSocket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = returnSocket.Close() })
	options := Options{
		ID:          "t1",
		Address:     netip.MustParseAddrPort("127.0.0.1:0"),
		Service:     service,
		Protocol:    state.UDP,
		Slots:       1,
		Connections: 10,
		QueueLimit:  10,
	}
	change(&options)
	fleet, err := NewFleet([]Options{options}, returnSocket.LocalAddr().(*net.UDPAddr).AddrPort(), slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	return &targetHarness{t: t, fleet: fleet, target: fleet.targets[0], returnSocket: returnSocket}
}

func caller(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), uint16(1000+n))
}

func requestPacket(n int, request exchange.Request) wire.Packet {
	return wire.Packet{Protocol: state.UDP, Source: caller(n), Dest: service, Payload: request.Encode()}
}

// readAnswer returns the next packet sent by the target.
func (b *targetHarness) readAnswer() wire.Packet {
	b.t.Helper()
	buffer := make([]byte, maxDatagram)
	n, err := b.returnSocket.Read(buffer)
	require.NoError(b.t, err)
	var decoder wire.Decoder
	p, err := decoder.Decode(buffer[:n])
	require.NoError(b.t, err)
	return p
}

// A second run counts for non-idempotent requests (Deposit), not for Fetch.
func TestRequestRunTwiceIsCounted(t *testing.T) {
	b := newTargetHarness(t, func(*Options) {})
	deposit := exchange.Request{ID: 5, Kind: exchange.Deposit}
	for n := range 2 {
		b.target.receive(time.Now(), requestPacket(n, deposit))
		b.readAnswer()
	}
	require.Equal(t, int64(1), b.target.Counts().RunTwice)
	fetch := exchange.Request{ID: 6, Kind: exchange.Fetch}
	for n := range 2 {
		b.target.receive(time.Now(), requestPacket(n, fetch))
		b.readAnswer()
	}
	require.Equal(t, int64(1), b.target.Counts().RunTwice)
}

// A request that finds the slots and the queue full is answered with NotRun.
func TestFullQueueSheds(t *testing.T) {
	b := newTargetHarness(t, func(o *Options) {
		o.QueueLimit = 0
		o.ServiceTime = time.Hour
	})
	b.target.receive(time.Now(), requestPacket(0, exchange.Request{ID: 1, Kind: exchange.Deposit}))
	b.target.receive(time.Now(), requestPacket(1, exchange.Request{ID: 2, Kind: exchange.Deposit}))
	answer, err := exchange.DecodeAnswer(b.readAnswer().Payload)
	require.NoError(t, err)
	require.Equal(t, exchange.NotRun, answer.Status)
	require.Equal(t, uint64(2), answer.ID)
	require.Equal(t, int64(1), b.target.Counts().Run)
}

// A SYN above the connection limit is answered with a reset that acknowledges it.
func TestConnectionLimitResets(t *testing.T) {
	b := newTargetHarness(t, func(o *Options) {
		o.Protocol = state.TCP
		o.Connections = 1
	})
	for n := range 2 {
		b.target.receive(time.Now(), wire.Packet{
			Protocol: state.TCP, Source: caller(n), Dest: service, Flags: wire.SYN, Seq: 9,
		})
	}
	require.True(t, b.readAnswer().Flags.Has(wire.SYN|wire.ACK))
	reset := b.readAnswer()
	require.True(t, reset.Flags.Has(wire.RST))
	require.Equal(t, uint32(10), reset.Ack)
	require.Equal(t, int64(1), b.target.Counts().OverLimit)
}

func TestFlowLongAfterDrainIsCounted(t *testing.T) {
	b := newTargetHarness(t, func(*Options) {})
	b.target.SetFaults(Faults{Draining: true})
	now := time.Now()
	b.target.receive(now, requestPacket(0, exchange.Request{ID: 1, Kind: exchange.Fetch}))
	require.Zero(t, b.target.Counts().AfterDrain)
	b.target.receive(now.Add(2*drainGrace), requestPacket(1, exchange.Request{ID: 2, Kind: exchange.Fetch}))
	require.Equal(t, int64(1), b.target.Counts().AfterDrain)
}

func TestPacketOfAnotherServiceIsCounted(t *testing.T) {
	b := newTargetHarness(t, func(*Options) {})
	p := requestPacket(0, exchange.Request{ID: 1, Kind: exchange.Fetch})
	p.Dest = otherService
	b.target.receive(time.Now(), p)
	require.Equal(t, int64(1), b.target.Counts().WrongService)
	require.Zero(t, b.target.Counts().Run)
}

// Reports are written only after the lag, carry the overridden load, and preserve
// the entries of other targets.
func TestReportsObeyLagAndOverrides(t *testing.T) {
	store, err := platform.New(platform.Options{})
	require.NoError(t, err)
	t.Cleanup(func() { _ = store.Close() })
	_, err = store.Put(objects.KeyLoads, objects.LoadList{Loads: []objects.TargetLoad{{Target: "elsewhere"}}})
	require.NoError(t, err)
	b := newTargetHarness(t, func(*Options) {})
	options := ReporterOptions{Platform: store.URL(), Lag: 2 * time.Second}
	reporter := NewReporter(b.fleet, options, slog.New(slog.DiscardHandler))
	began := time.Now()
	reportedLoad := 0.9
	b.target.SetFaults(Faults{Draining: true, ReportLoad: &reportedLoad})
	reporter.sampleAndWrite(t.Context(), began)
	require.Len(t, storedLoads(t, store), 1)
	b.target.SetFaults(Faults{})
	reporter.sampleAndWrite(t.Context(), began.Add(2*time.Second))

	loads := storedLoads(t, store)
	require.Len(t, loads, 2)
	require.Equal(t, state.TargetID("t1"), loads[0].Target)
	require.True(t, loads[0].Draining)
	require.InDelta(t, reportedLoad, loads[0].Load, 1e-9)
	require.Equal(t, state.TargetID("elsewhere"), loads[1].Target)
}

func storedLoads(t *testing.T, store *platform.Server) []objects.TargetLoad {
	t.Helper()
	object, ok := store.Get(objects.KeyLoads)
	require.True(t, ok)
	var list objects.LoadList
	require.NoError(t, json.Unmarshal(object.Value, &list))
	return list.Loads
}
