package callers

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/protocol/packet"
	"github.com/guavawharf/guavawharf/internal/standin/exchange"
	"github.com/guavawharf/guavawharf/internal/standin/upstream"
	"github.com/guavawharf/guavawharf/internal/standin/wire"
	"github.com/guavawharf/guavawharf/internal/state"
)

var (
	feed    = netip.MustParseAddrPort("198.51.100.10:443")
	lookups = netip.MustParseAddrPort("[2001:db8::10]:53")
	anyPort = netip.MustParseAddrPort("127.0.0.1:0")
)

// briefLimit is the time limit of runs whose flows are made to fail.
const briefLimit = 2 * time.Second

// chooseTarget returns the index of the target that gets a packet, or refuse.
type chooseTarget func(p wire.Packet) int

const refuse = -1

// forwarder takes the place of the entry hosts: it forwards packets to targets or
// refuses them.
type forwarder struct {
	socket        *net.UDPConn
	targets       []netip.AddrPort
	returnAddress netip.AddrPort
	choose        chooseTarget
}

func startForwarder(t *testing.T, returnAddress netip.AddrPort, choose chooseTarget) *forwarder {
	t.Helper()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(anyPort))
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return &forwarder{socket: socket, returnAddress: returnAddress, choose: choose}
}

func (f *forwarder) run() {
	var decoder wire.Decoder
	answerer := packet.NewReplyBuilder()
	buffer := make([]byte, maxDatagram)
	for {
		n, err := f.socket.Read(buffer)
		if err != nil {
			return
		}
		p, err := decoder.Decode(buffer[:n])
		if err != nil {
			continue
		}
		index := f.choose(p)
		if index != refuse {
			_, _ = f.socket.WriteToUDPAddrPort(buffer[:n], f.targets[index])
			continue
		}
		if refusal, err := answerer.BuildRefusal(buffer[:n], 10*time.Millisecond); err == nil {
			_, _ = f.socket.WriteToUDPAddrPort(refusal, f.returnAddress)
		}
	}
}

// unusedAddress returns a local address that no socket is bound to.
func unusedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(anyPort))
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

func targetOptions(id state.TargetID, service netip.AddrPort, protocol state.Protocol) upstream.Options {
	return upstream.Options{
		ID:          id,
		Address:     anyPort,
		Service:     service,
		Protocol:    protocol,
		Slots:       3,
		Connections: 2000,
		QueueLimit:  100,
		ServiceTime: time.Millisecond,
	}
}

// runLoad runs 40 TCP and 20 UDP flows of 3 requests each through the forwarder
// and returns the callers' report and the targets' counts.
func runLoad(t *testing.T, loss float64, limit time.Duration, choose chooseTarget) (Report, []upstream.Counts) {
	t.Helper()
	returnAddress := unusedAddress(t)
	fleet, err := upstream.NewFleet([]upstream.Options{
		targetOptions("feed-1", feed, state.TCP),
		targetOptions("feed-2", feed, state.TCP),
		targetOptions("lookup-1", lookups, state.UDP),
		targetOptions("lookup-2", lookups, state.UDP),
	}, returnAddress, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	f := startForwarder(t, returnAddress, choose)
	f.targets = fleet.Addresses()
	go f.run()
	const seed = 7
	t.Logf("seed %d", seed)
	report, err := Run(t.Context(), Options{
		Listen:    returnAddress,
		Hosts:     []netip.AddrPort{f.socket.LocalAddr().(*net.UDPAddr).AddrPort()},
		Seed:      seed,
		Loss:      loss,
		Delay:     time.Millisecond,
		Jitter:    2 * time.Millisecond,
		Workers:   4,
		TimeLimit: limit,
		Groups: []Group{
			{Name: "deposits", Service: feed, Protocol: state.TCP, Flows: 40, Ramp: 300 * time.Millisecond,
				Exchanges: 3, Interval: 50 * time.Millisecond, Kind: exchange.Deposit, AnswerSize: 5000},
			{Name: "lookups", Service: lookups, Protocol: state.UDP, Flows: 20, Ramp: 300 * time.Millisecond,
				Exchanges: 3, Interval: 50 * time.Millisecond, Kind: exchange.Fetch, AnswerSize: 100},
		},
	})
	require.NoError(t, err)
	return report, fleet.Counts()
}

// targetOfFlow returns the same target for all packets of a flow.
func targetOfFlow(p wire.Packet) int {
	index := int(p.Source.Port() % 2)
	if p.Protocol == state.UDP {
		index += 2
	}
	return index
}

func sum(counts []upstream.Counts, field func(upstream.Counts) int64) int64 {
	var total int64
	for _, c := range counts {
		total += field(c)
	}
	return total
}

// With packet loss, retransmissions must get every request answered, and no
// request may run twice.
func TestAllFlowsAnsweredUnderLoss(t *testing.T) {
	report, counts := runLoad(t, 0.02, time.Minute, targetOfFlow)
	total := report.Total()
	require.Equal(t, 60, total.Flows)
	require.Equal(t, 60, total.Answered)
	require.Equal(t, 180, total.Requests)
	require.Zero(t, total.Broken)
	require.Positive(t, total.Retransmits)
	require.Zero(t, sum(counts, func(c upstream.Counts) int64 { return c.RunTwice + c.WrongService + c.NeverOpened }))
}

// A refused flow must be opened again after the refusal's retry time, and all its
// requests must be answered.
func TestRefusedFlowsReopen(t *testing.T) {
	refused := 0
	report, counts := runLoad(t, 0, time.Minute, func(p wire.Packet) int {
		first := p.Flags.Has(wire.SYN) || p.Protocol == state.UDP
		if first && refused < 30 {
			refused++
			return refuse
		}
		return targetOfFlow(p)
	})
	total := report.Total()
	require.Equal(t, 60, total.Answered)
	require.Zero(t, total.RefusalsWithoutRetryAfter)
	require.Equal(t, 30, total.Refusals)
	require.Zero(t, sum(counts, func(c upstream.Counts) int64 { return c.RunTwice }))
}

// Packets of one flow that go to different targets must show up as broken flows
// and as payloads at targets that did not open the flow.
func TestPacketsSpreadOverTargetsBreakFlows(t *testing.T) {
	next := 0
	report, counts := runLoad(t, 0, briefLimit, func(p wire.Packet) int {
		next++
		if p.Protocol == state.UDP {
			return 2 + next%2
		}
		return next % 2
	})
	require.Positive(t, report.Total().Broken)
	require.Positive(t, sum(counts, func(c upstream.Counts) int64 { return c.NeverOpened }))
}

// Packets that reach a target of another service must be counted there.
func TestWrongServiceIsCounted(t *testing.T) {
	_, counts := runLoad(t, 0, briefLimit, func(p wire.Packet) int {
		if p.Source.Port()%10 == 0 {
			return 3 - targetOfFlow(p)
		}
		return targetOfFlow(p)
	})
	require.Positive(t, sum(counts, func(c upstream.Counts) int64 { return c.WrongService }))
}
