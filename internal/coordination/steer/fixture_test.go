package steer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// Addresses of the services in these tests.
var (
	feedAddress     = netip.MustParseAddrPort("198.18.0.1:8443")
	depositAddress  = netip.MustParseAddrPort("198.18.0.1:8080")
	proofAddress    = netip.MustParseAddrPort("198.18.0.2:8443")
	unroutedAddress = netip.MustParseAddrPort("198.18.0.9:80")
)

// Pools of these tests.
const (
	orderPool = catalog.PoolID("orders")
	proofPool = catalog.PoolID("proofs")
)

// fixture is an engine with a clock and a directory of targets.
type fixture struct {
	t         testing.TB
	now       time.Duration
	engine    *Engine
	directory *catalog.Directory
	nextPort  uint16
}

// newFixture returns an engine in failure domain "a" that knows the routes and the given
// targets. Requests to depositAddress are not idempotent.
func newFixture(t testing.TB, targets ...catalog.Target) *fixture {
	f := newEmptyFixture(t)
	f.directory.SetConfig(catalog.Config{Version: 1, Routes: []catalog.Route{
		{Name: "feed", Address: feedAddress, Pools: []catalog.PoolWeight{{Pool: orderPool, Weight: 1}}, Idempotent: true},
		{Name: "deposit", Address: depositAddress, Pools: []catalog.PoolWeight{{Pool: orderPool, Weight: 1}}},
		{Name: "proof", Address: proofAddress, Pools: []catalog.PoolWeight{{Pool: proofPool, Weight: 1}}, Idempotent: true},
	}})
	for _, target := range targets {
		f.directory.Put(0, target)
	}
	f.publish()
	return f
}

// newEmptyFixture returns an engine without a configuration or targets.
func newEmptyFixture(t testing.TB) *fixture {
	random := rand.New(rand.NewPCG(1, 2))
	return &fixture{
		t:         t,
		now:       time.Second,
		engine:    NewEngine("a", random.Float64),
		directory: catalog.NewDirectory(catalog.Settings{DepartedRetention: time.Minute}),
		nextPort:  1024,
	}
}

func (f *fixture) publish() {
	view, _ := f.directory.View(f.now)
	f.engine.SetView(f.now, view)
}

// orderTarget returns a target of the order pool.
func orderTarget(number int, domain state.DomainID) catalog.Target {
	return newTarget(number, domain, orderPool)
}

func newTarget(number int, domain state.DomainID, pool catalog.PoolID) catalog.Target {
	return catalog.Target{
		ID:          catalog.TargetID(0x2a_0000_0000 + uint64(number)),
		Name:        fmt.Sprintf("t%d", number),
		Pool:        pool,
		Domain:      domain,
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, 0, byte(number)}), 8080),
		Slots:       3,
		StartMillis: 1,
	}
}

// testClient is the client's end of a flow.
type testClient struct {
	fixture *fixture
	address netip.AddrPort
	service netip.AddrPort
	seq     uint32
	ack     uint32
	cookie  catalog.Cookie
}

func (f *fixture) newClient(service netip.AddrPort) *testClient {
	f.nextPort++
	client := netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), f.nextPort)
	return &testClient{fixture: f, address: client, service: service, seq: 1000, ack: 0}
}

// sendSYN sends the SYN.
func (c *testClient) sendSYN() Verdict {
	return c.send(Packet{SYN: true, Seq: c.seq, Raw: []byte("syn")})
}

// confirmOpen acknowledges a target's answer to the SYN.
func (c *testClient) confirmOpen(at *catalog.Target) Verdict {
	c.cookie = at.ID.Cookie()
	c.seq++
	c.ack = 5000
	return c.send(Packet{Seq: c.seq, Ack: c.ack})
}

// sendRequest sends a request of 100 bytes.
func (c *testClient) sendRequest() Verdict {
	verdict := c.sendUncounted()
	c.seq += 100
	return verdict
}

// sendUncounted sends a request of 100 bytes without advancing the sequence number, so
// that the next call retransmits it.
func (c *testClient) sendUncounted() Verdict {
	return c.send(Packet{Seq: c.seq, Ack: c.ack, Length: 100})
}

// retransmit sends the last request again.
func (c *testClient) retransmit() Verdict {
	return c.send(Packet{Seq: c.seq - 100, Ack: c.ack, Length: 100})
}

// ackAnswer acknowledges 1,200 more bytes of the target's answer.
func (c *testClient) ackAnswer() Verdict {
	c.ack += 1200
	return c.sendAck()
}

func (c *testClient) sendAck() Verdict { return c.send(Packet{Seq: c.seq, Ack: c.ack}) }

func (c *testClient) send(p Packet) Verdict {
	p.Client, p.Service, p.Cookie = c.address, c.service, c.cookie
	return c.fixture.engine.HandlePacket(c.fixture.now, &p)
}

// establish opens a flow and returns its target.
func (c *testClient) establish() *catalog.Target {
	verdict := c.sendSYN()
	require.Equal(c.fixture.t, ActionForward, verdict.Action)
	c.fixture.now += 5 * time.Millisecond
	require.Equal(c.fixture.t, ActionForward, c.confirmOpen(verdict.Target).Action)
	return verdict.Target
}

// establishAt opens flows until one is placed at the named target.
func (f *fixture) establishAt(service netip.AddrPort, name string) *testClient {
	for range 200 {
		c := f.newClient(service)
		if c.establish().Name == name {
			return c
		}
	}
	f.t.Fatalf("no flow was placed at %s", name)
	return nil
}

// advance moves the clock and handles the deadlines that have passed.
func (f *fixture) advance(after time.Duration) []Verdict {
	f.now += after
	return f.engine.HandleDeadlines(f.now, nil)
}

// learnBaseline plays the seconds with a little traffic after which there is a baseline of
// the load.
func (f *fixture) learnBaseline() {
	load := &f.engine.targets.totalLoad
	for range minSamples {
		load.syns = 1
		load.sample()
	}
}

// runChecks completes the requested checks and returns their number.
func (f *fixture) runChecks(alive func(catalog.TargetID) bool) (checked int) {
	for _, check := range f.engine.DrainChecks() {
		checked++
		proof := CheckTimedOut
		if alive(check.Target) {
			proof = CheckPassed
		}
		f.engine.RecordCheck(f.now, check.Target, proof)
	}
	return checked
}

func noneAlive(catalog.TargetID) bool { return false }
func allAlive(catalog.TargetID) bool  { return true }
