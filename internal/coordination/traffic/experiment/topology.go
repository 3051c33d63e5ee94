package experiment

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/traffic"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Topology is the number of hosts and targets of an installation, and its delays.
type Topology struct {
	Name string
	// Hosts is the number of entry hosts of each failure domain.
	Hosts []int
	// Targets holds the number of targets of the large and of the small service.
	Targets [2]int
	// InterDomainDelay is the delay between failure domains.
	InterDomainDelay time.Duration
	// Protocol is the protocol of all services; zero is TCP.
	Protocol state.Protocol
}

// Huaman and Hanbit have the shapes of the two existing installations.
var (
	Huaman = Topology{Name: "huaman", Hosts: []int{3, 2, 2}, Targets: [2]int{14, 4}, InterDomainDelay: 3 * time.Millisecond}
	Hanbit = Topology{Name: "hanbit", Hosts: []int{2, 2, 2, 1}, Targets: [2]int{14, 4}, InterDomainDelay: 5 * time.Millisecond}
)

// Delays until hosts and the fabric learn of a change.
const (
	// releaseSkew is the longest time until a release is in force on a host.
	releaseSkew = 500 * time.Millisecond
	// viewSkew is the longest time between two hosts that learn of the same
	// membership change.
	viewSkew = 300 * time.Millisecond
	// detectionDelay is the time from the crash of a host until others declare it
	// dead.
	detectionDelay = 1500 * time.Millisecond
	// fabricLag is the time until the fabric stops routing to a host that crashed
	// or leaves.
	fabricLag = time.Second
	// leaveLinger is how long a leaving host goes on relaying, not counting the
	// time it needs to hand its records over.
	leaveLinger = 2 * time.Second
)

// linkOf returns the network delays and losses of a topology.
func linkOf(t Topology) Link {
	return Link{
		IntraDomain: 200 * time.Microsecond,
		InterDomain: t.InterDomainDelay,
		Caller:      time.Millisecond,
		Jitter:      0.3,
		Loss:        0.001,
	}
}

// domainID returns the id of the i-th failure domain.
func domainID(i int) state.DomainID { return state.DomainID(fmt.Sprintf("domain-%d", i+1)) }

// Start returns a simulation with a topology's hosts, services and targets.
func Start(t Topology, seed uint64, way state.ForwardingMode, settings traffic.Settings) *Simulation {
	b := NewSimulation(seed, linkOf(t), settings)
	b.release = state.Release{Version: 1, NextNumber: 1}
	for i, targets := range t.Targets {
		b.addService(i, way, cmp.Or(t.Protocol, state.TCP))
		for n := range targets {
			b.AddTarget(i, domainID(n%len(t.Hosts)))
		}
	}
	b.syncTargets()
	var members []state.Member
	for d, hosts := range t.Hosts {
		for range hosts {
			id := state.HostID(fmt.Sprintf("host-%d", len(members)+1))
			h := state.Host{ID: id, Domain: domainID(d)}
			members = append(members, state.Member{Host: h, Incarnation: 1})
		}
	}
	for _, m := range members {
		b.StartHost(m.ID, m.Domain, members)
	}
	return b
}

// addService adds the i-th service to the release.
func (b *Simulation) addService(i int, way state.ForwardingMode, protocol state.Protocol) {
	address := netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)})
	b.release.Services = append(b.release.Services, state.Service{
		ID:          state.ServiceID(fmt.Sprintf("service-%d", i+1)),
		Number:      state.ServiceNumber(b.nextNumber()),
		Customer:    state.CustomerID(fmt.Sprintf("customer-%d", i+1)),
		Protocol:    protocol,
		Address:     netip.AddrPortFrom(address, 443),
		Way:         way,
		IdleTimeout: time.Minute,
	})
}

// nextNumber allocates a number for a service or target.
func (b *Simulation) nextNumber() uint32 {
	b.release.NextNumber++
	return b.release.NextNumber - 1
}

// Service returns the i-th service.
func (b *Simulation) Service(i int) *state.Service { return &b.release.Services[i] }

// BeginRelease begins a new release; the caller edits it and calls Publish.
func (b *Simulation) BeginRelease() {
	b.release.Version++
	b.release.Services = slices.Clone(b.release.Services)
	for i := range b.release.Services {
		b.release.Services[i].Targets = slices.Clone(b.release.Services[i].Targets)
	}
}

// AddTarget adds a target to the i-th service of the release.
func (b *Simulation) AddTarget(i int, domain state.DomainID) state.TargetID {
	number := b.nextNumber()
	address := netip.AddrFrom4([4]byte{10, 255, byte(number >> 8), byte(number)})
	target := state.Target{
		ID:          state.TargetID(fmt.Sprintf("target-%03d", number)),
		Number:      state.TargetNumber(number),
		Domain:      domain,
		Address:     netip.AddrPortFrom(address, 5555),
		Weight:      1,
		Slots:       3,
		Connections: 2000,
	}
	targets := append(b.release.Services[i].Targets, target)
	b.release.Services[i].Targets = targets
	return target.ID
}

// WithdrawTarget removes the n-th target of the i-th service.
func (b *Simulation) WithdrawTarget(i, n int) {
	service := &b.release.Services[i]
	service.Retired = append(slices.Clone(service.Retired), service.Targets[n])
	service.Targets = slices.Delete(service.Targets, n, n+1)
}

// DrainTarget marks the n-th target of the i-th service as leaving.
func (b *Simulation) DrainTarget(i, n int) { b.release.Services[i].Targets[n].Leaving = true }

// Publish puts the release in force on each host after a random delay of up to
// releaseSkew.
func (b *Simulation) Publish() {
	b.syncTargets()
	release := b.release
	for _, h := range b.hosts {
		b.AfterFunc(b.randomUpTo(releaseSkew), func() { h.ApplyRelease(release) })
	}
}

// randomUpTo returns a random duration below d.
func (b *Simulation) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(b.random.Float64() * float64(d))
}

// announceMember updates a member in the views of all other running hosts, each at
// a random time within viewSkew.
func (b *Simulation) announceMember(m state.Member, after time.Duration) {
	b.AfterFunc(after, func() {
		for _, h := range b.hosts {
			if h.ID != m.ID && h.running {
				b.AfterFunc(b.randomUpTo(viewSkew), func() { h.SetMember(m) })
			}
		}
	})
}

// KillHost crashes the n-th host.
func (b *Simulation) KillHost(n int) {
	h := b.hosts[n]
	h.Kill(fabricLag)
	m := h.Member()
	m.Status = state.HostDead
	b.announceMember(m, detectionDelay)
}

// DrainHost starts the graceful leave of the n-th host.
func (b *Simulation) DrainHost(n int) {
	h := b.hosts[n]
	h.Leave(fabricLag, leaveLinger)
	m := h.Member()
	b.announceMember(m, 0)
	m.Status = state.HostDead
	b.announceMember(m, 2*leaveLinger)
}

// PartitionDomain partitions a failure domain from the others for d. Each side
// declares the hosts of the other dead, and adds them again after the partition.
func (b *Simulation) PartitionDomain(domain state.DomainID, d time.Duration) {
	b.isolated = domain
	b.AfterFunc(d, func() { b.isolated = "" })
	for _, h := range b.hosts {
		for _, other := range b.hosts {
			if (h.Domain == domain) == (other.Domain == domain) {
				continue
			}
			m := other.Member()
			dead := m
			dead.Status = state.HostDead
			b.AfterFunc(detectionDelay+b.randomUpTo(viewSkew), func() { h.SetMember(dead) })
			b.AfterFunc(d+detectionDelay+b.randomUpTo(viewSkew), func() { h.SetMember(m) })
		}
	}
}

// JoinHost starts a new host in a domain.
func (b *Simulation) JoinHost(domain state.DomainID) {
	id := state.HostID(fmt.Sprintf("host-%d", len(b.hosts)+1))
	h := b.StartHost(id, domain, b.liveHost().Members())
	b.announceMember(h.Member(), 0)
}

// liveHost returns a host that runs and is not leaving.
func (b *Simulation) liveHost() *Host {
	i := slices.IndexFunc(b.hosts, func(h *Host) bool { return h.running && !h.leaving })
	return b.hosts[i]
}

// OpenFlows opens perTarget flows for each target of every service, evenly spaced
// over d.
func (b *Simulation) OpenFlows(perTarget int, d time.Duration, plan FlowPlan) {
	for i := range b.release.Services {
		n := len(b.release.Services[i].Targets) * perTarget
		b.ScheduleEvenly(n, d, func(int) { b.OpenFlow(b.Service(i), plan) })
	}
}
