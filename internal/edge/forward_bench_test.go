package edge

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/steer"
	"github.com/guavawharf/guavawharf/internal/protocol/edgesettings"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
	"github.com/guavawharf/guavawharf/internal/transport/udp"
)

// BenchmarkForward measures forwarding one established packet from socket to socket, in
// lockstep with its sender and receiver.
func BenchmarkForward(b *testing.B) {
	target, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	e := &Edge{settings: edgesettings.Settings{}, log: slog.New(slog.DiscardHandler), start: time.Now(), metrics: newHostMetrics(), firstReady: make(chan struct{})}
	close(e.firstReady)
	// The traffic loop asks for reports and reads; nobody handles them here.
	e.control = &control{reporter: newReporter(e), overloaded: make(chan struct{}, 1)}
	e.view.Store(benchView(target.LocalAddr().(*net.UDPAddr).AddrPort()))
	socket, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	e.traffic, err = newTraffic(e, socket, steer.NewEngine("a", func() float64 { return 0 }))
	if err != nil {
		b.Fatal(err)
	}
	go e.traffic.run()
	packet := make([]byte, 100)
	copy(packet, []byte{1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 68, 0, 0xbb, 1, 1, 0, 0x12, 0xc6, 0x41, 0x9c, 7, 0, 0x40, 0x64, 1, 0})
	sender, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(socket.Address()))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = sender.Close() }()
	buf := make([]byte, 2048)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := sender.Write(packet); err != nil {
			b.Fatal(err)
		}
		if _, _, err := target.ReadFromUDPAddrPort(buf); err != nil {
			b.Fatal(err)
		}
	}
}

// benchView returns a view with one route to one target.
func benchView(address netip.AddrPort) *catalog.View {
	d := catalog.NewDirectory(catalog.Settings{})
	d.SetConfig(catalog.Config{Version: 1, Routes: []catalog.Route{{
		Address: netip.MustParseAddrPort("198.18.0.1:443"), Pools: []catalog.PoolWeight{{Pool: "p", Weight: 1}},
	}}})
	d.Put(0, catalog.Target{ID: 1, Name: "i-1", Pool: "p", Domain: "a", Address: address, Slots: 1})
	view, _ := d.View(0)
	return view
}
