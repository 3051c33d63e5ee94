package slopes

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/lookup"
)

// virtualStart is the start of virtual time.
var virtualStart = time.Unix(1_800_000_000, 0)

const (
	// engineTargets is the number of targets of the engines' only service.
	engineTargets = 14
	// openingSize and dataSize are packet sizes in bytes; dataPayload is a data
	// packet without its 40 bytes of IPv4 and TCP headers.
	openingSize = 60
	dataSize    = 600
	dataPayload = dataSize - 40
)

// testHost returns the n-th host of a domain.
func testHost(domain, n int) state.Host {
	ip := netip.AddrFrom4([4]byte{10, byte(domain), byte(n >> 8), byte(n)})
	return state.Host{
		ID:      state.HostID(fmt.Sprintf("host-%d-%d", domain, n)),
		Domain:  domainID(domain),
		Packets: netip.AddrPortFrom(ip, 6080),
		Relay:   netip.AddrPortFrom(ip, 6081),
		Control: netip.AddrPortFrom(ip, 6082),
	}
}

func domainID(n int) state.DomainID { return state.DomainID(fmt.Sprintf("domain-%d", n)) }

// singleServiceRelease returns a release with one service, whose targets are in
// one failure domain.
func singleServiceRelease(targets int) *state.Release {
	service := state.Service{
		ID:          "service",
		Number:      1,
		Customer:    "customer",
		Protocol:    state.TCP,
		Address:     netip.MustParseAddrPort("198.51.100.1:443"),
		IdleTimeout: 5 * time.Minute,
	}
	for i := range targets {
		service.Targets = append(service.Targets, testTarget(i, 0))
	}
	return &state.Release{
		Version:   1,
		Domains:   []state.DomainID{domainID(0)},
		Customers: []state.Customer{{ID: "customer", Weight: 1}},
		Services:  []state.Service{service},
	}
}

// maxConnections is so high that no measurement reaches the connection limit.
const maxConnections = 1 << 30

func testTarget(n, domain int) state.Target {
	ip := netip.AddrFrom4([4]byte{11, byte(n >> 16), byte(n >> 8), byte(n)})
	return state.Target{
		ID:          state.TargetID(fmt.Sprintf("target-%06d", n)),
		Number:      state.TargetNumber(n + 1),
		Domain:      domainID(domain),
		Address:     netip.AddrPortFrom(ip, 6080),
		Weight:      1,
		Slots:       3,
		Connections: maxConnections,
	}
}

// newSnapshot returns the snapshot that hosts[self] publishes for the release, with
// all hosts as members.
func newSnapshot(release *state.Release, hosts []state.Host, self int) *state.Snapshot {
	snapshot := &state.Snapshot{
		Self:      hosts[self],
		Version:   release.Version,
		Customers: release.Customers,
		Services:  make(map[state.ServiceAddress]*state.ServiceEntry),
		Targets:   make(map[state.TargetNumber]*state.TargetEntry),
		View:      state.MembershipView{Epoch: 1},
		Ready:     true,
	}
	for _, host := range hosts {
		snapshot.View.Members = append(snapshot.View.Members, state.Member{Host: host, Run: 1})
	}
	for _, service := range release.Services {
		entry := lookup.NextEntry(nil, service, release.Version)
		address := state.ServiceAddress{Protocol: service.Protocol, Address: service.Address}
		snapshot.Services[address] = entry
		for _, target := range entry.TargetEntries {
			snapshot.Targets[target.Number] = target
		}
	}
	return snapshot
}

// flowPacket returns a packet of the n-th flow of the only service.
func flowPacket(n int, kind traffic.PacketKind, progress uint64) traffic.Packet {
	ip := netip.AddrFrom4([4]byte{12, byte(n >> 24), byte(n >> 16), byte(n >> 8)})
	key := state.FlowKey{
		Protocol: state.TCP,
		Caller:   netip.AddrPortFrom(ip, uint16(1024+n%256)),
		Service:  netip.MustParseAddrPort("198.51.100.1:443"),
	}
	p := traffic.Packet{
		Key:         key,
		Fingerprint: key.Fingerprint(),
		Kind:        kind,
		Size:        openingSize,
		Progress:    progress,
	}
	if kind == traffic.KindData {
		p.Size = dataSize
		p.PayloadSize = dataPayload
	}
	return p
}

// cluster is the traffic engines of the hosts of one failure domain. Packets and
// record messages between them arrive without delay or loss.
type cluster struct {
	now       time.Time
	hosts     []state.Host
	engines   []*traffic.Engine
	snapshots []*state.Snapshot
	// relays and recordMessages count the packets and the record messages sent
	// between hosts.
	relays         int
	recordMessages int
	// forwarded and notForwarded count the packets from the fabric by outcome.
	forwarded    int
	notForwarded int
}

func newCluster(hosts, maxRecords int, seed uint64) *cluster {
	c := &cluster{now: virtualStart}
	for n := range hosts {
		c.hosts = append(c.hosts, testHost(0, n))
	}
	release := singleServiceRelease(engineTargets)
	for n := range hosts {
		settings := traffic.Settings{MaxRecords: maxRecords}
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		c.engines = append(c.engines, traffic.NewEngine(settings, random))
		c.snapshots = append(c.snapshots, newSnapshot(release, c.hosts, n))
	}
	c.completeStartup()
	return c
}

// startupTime is longer than the time after its start in which a host treats its
// verdicts as tentative.
const startupTime = 10 * time.Second

// completeStartup starts the clock of each engine, which begins with its first call,
// and advances the time by startupTime, so that verdicts are no longer tentative.
func (c *cluster) completeStartup() {
	for n := range c.engines {
		c.engines[n].Sweep(c.now, c.snapshots[n], 1)
	}
	c.now = c.now.Add(startupTime)
}

// handlePacket passes a packet from the fabric to a host, follows it over all
// relays and counts its outcome.
func (c *cluster) handlePacket(host int, p traffic.Packet) {
	for {
		d := c.engines[host].Handle(c.now, c.snapshots[host], &p)
		c.deliverRecordMessages(d.Messages[:d.MessageCount])
		if d.Action != traffic.ActionRelay {
			c.countOutcome(d)
			return
		}
		c.relays++
		p.From = c.hosts[host].ID
		host = c.hostIndex(d.To)
		p.Relayed = true
		p.Relay = d.Header
	}
}

func (c *cluster) countOutcome(d traffic.Decision) {
	if d.Action == traffic.ActionForward {
		c.forwarded++
		return
	}
	c.notForwarded++
}

func (c *cluster) deliverRecordMessages(messages []traffic.RecordMessage) {
	for _, n := range messages {
		c.recordMessages++
		to := c.hostIndex(n.To)
		c.engines[to].HandleRecord(c.now, c.snapshots[to], n.Header)
	}
}

func (c *cluster) hostIndex(id state.HostID) int {
	for i, h := range c.hosts {
		if h.ID == id {
			return i
		}
	}
	panic("no such host: " + string(id))
}
