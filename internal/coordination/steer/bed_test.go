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
	feedAddress    = netip.MustParseAddrPort("198.18.0.1:8443")
	depositAddress = netip.MustParseAddrPort("198.18.0.1:8080")
	proofAddress   = netip.MustParseAddrPort("198.18.0.2:8443")
	noAddress      = netip.MustParseAddrPort("198.18.0.9:80")
)

// Pools of these tests.
const (
	orderPool = catalog.PoolID("orders")
	proofPool = catalog.PoolID("proofs")
)

// bed is an engine with a clock and a directory.
type bed struct {
	t         testing.TB
	now       time.Duration
	engine    *Engine
	directory *catalog.Directory
	nextPort  uint16
}

// newBed returns an engine in domain "a" that knows the routes and these targets.
func newBed(t testing.TB, targets ...catalog.Target) *bed {
	b := emptyBed(t)
	b.directory.SetConfig(catalog.Config{Version: 1, Routes: []catalog.Route{
		{Name: "feed", Address: feedAddress, Pools: []catalog.PoolWeight{{Pool: orderPool, Weight: 1}}, Idempotent: true},
		{Name: "deposit", Address: depositAddress, Pools: []catalog.PoolWeight{{Pool: orderPool, Weight: 1}}},
		{Name: "proof", Address: proofAddress, Pools: []catalog.PoolWeight{{Pool: proofPool, Weight: 1}}, Idempotent: true},
	}})
	for _, target := range targets {
		b.directory.Put(target)
	}
	b.publish()
	return b
}

// emptyBed returns an engine that knows nothing yet.
func emptyBed(t testing.TB) *bed {
	random := rand.New(rand.NewPCG(1, 2))
	return &bed{
		t:         t,
		now:       time.Second,
		engine:    NewEngine("a", random.Float64),
		directory: catalog.NewDirectory(catalog.Settings{KeepDeparted: time.Minute}),
		nextPort:  1024,
	}
}

func (b *bed) publish() {
	view, _ := b.directory.View(b.now)
	b.engine.SetView(b.now, view)
}

// order returns a target of the order pool.
func order(number int, domain state.DomainID) catalog.Target {
	return target(number, domain, orderPool)
}

func target(number int, domain state.DomainID, pool catalog.PoolID) catalog.Target {
	return catalog.Target{
		ID:      catalog.TargetID(0x2a_0000_0000 + uint64(number)),
		Name:    fmt.Sprintf("t%d", number),
		Pool:    pool,
		Domain:  domain,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, 0, byte(number)}), 8080),
		Slots:   3,
		Born:    1,
	}
}

// caller is a client's end of a flow.
type caller struct {
	bed     *bed
	client  netip.AddrPort
	service netip.AddrPort
	seq     uint32
	ack     uint32
	cookie  catalog.Cookie
}

func (b *bed) caller(service netip.AddrPort) *caller {
	b.nextPort++
	client := netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), b.nextPort)
	return &caller{bed: b, client: client, service: service, seq: 1000, ack: 0}
}

// open sends the opening.
func (c *caller) open() Verdict {
	return c.send(Packet{SYN: true, Seq: c.seq, Raw: []byte("opening")})
}

// opened takes the target's answer to the opening and confirms it.
func (c *caller) opened(at *catalog.Target) Verdict {
	c.cookie = at.ID.Cookie()
	c.seq++
	c.ack = 5000
	return c.send(Packet{Seq: c.seq, Ack: c.ack})
}

// request sends a request of 100 bytes.
func (c *caller) request() Verdict {
	verdict := c.repeat()
	c.seq += 100
	return verdict
}

// repeat sends the request without counting it as sent.
func (c *caller) repeat() Verdict {
	return c.send(Packet{Seq: c.seq, Ack: c.ack, Length: 100})
}

// again repeats the request sent last.
func (c *caller) again() Verdict {
	return c.send(Packet{Seq: c.seq - 100, Ack: c.ack, Length: 100})
}

// answered acknowledges 1,200 more bytes.
func (c *caller) answered() Verdict {
	c.ack += 1200
	return c.acknowledge()
}

func (c *caller) acknowledge() Verdict { return c.send(Packet{Seq: c.seq, Ack: c.ack}) }

func (c *caller) send(p Packet) Verdict {
	p.Client, p.Service, p.Cookie = c.client, c.service, c.cookie
	return c.bed.engine.HandlePacket(c.bed.now, &p)
}

// establish opens a flow and returns its target.
func (c *caller) establish() *catalog.Target {
	verdict := c.open()
	require.Equal(c.bed.t, ActionForward, verdict.Action)
	c.bed.now += 5 * time.Millisecond
	require.Equal(c.bed.t, ActionForward, c.opened(verdict.Target).Action)
	return verdict.Target
}

// establishAt opens flows until one is at the target.
func (b *bed) establishAt(service netip.AddrPort, name string) *caller {
	for range 200 {
		c := b.caller(service)
		if c.establish().Name == name {
			return c
		}
	}
	b.t.Fatalf("no flow was placed at %s", name)
	return nil
}

// due runs what is due after a while.
func (b *bed) due(after time.Duration) []Verdict {
	b.now += after
	return b.engine.HandleDeadlines(b.now, nil)
}

// check answers the checks that the engine asked for.
func (b *bed) check(alive func(catalog.TargetID) bool) (checked int) {
	for _, check := range b.engine.DrainChecks() {
		checked++
		proof := CheckTimedOut
		if alive(check.Target) {
			proof = CheckPassed
		}
		b.engine.RecordCheck(b.now, check.Target, proof)
	}
	return checked
}

func nobody(catalog.TargetID) bool    { return false }
func everybody(catalog.TargetID) bool { return true }
