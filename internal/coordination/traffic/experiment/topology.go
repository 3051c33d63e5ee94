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
	// releaseSkew is the longest time from the publication of a release until it is in
	// force on a host.
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

// networkLink returns the network delays and losses of a topology.
func networkLink(t Topology) Link {
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
func Start(t Topology, seed uint64, mode state.ForwardingMode, settings traffic.Settings) *Simulation {
	sim := NewSimulation(seed, networkLink(t), settings)
	sim.release = state.Release{Version: 1, NextNumber: 1}
	for i, targets := range t.Targets {
		sim.addService(i, mode, cmp.Or(t.Protocol, state.TCP))
		for n := range targets {
			sim.AddTarget(i, domainID(n%len(t.Hosts)))
		}
	}
	sim.syncTargets()
	var members []state.Member
	for d, hosts := range t.Hosts {
		for range hosts {
			id := state.HostID(fmt.Sprintf("host-%d", len(members)+1))
			h := state.Host{ID: id, Domain: domainID(d)}
			members = append(members, state.Member{Host: h, Run: 1})
		}
	}
	for _, m := range members {
		sim.StartHost(m.ID, m.Domain, members)
	}
	return sim
}

// addService adds the i-th service to the release.
func (sim *Simulation) addService(i int, mode state.ForwardingMode, protocol state.Protocol) {
	address := netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)})
	sim.release.Services = append(sim.release.Services, state.Service{
		ID:          state.ServiceID(fmt.Sprintf("service-%d", i+1)),
		Number:      state.ServiceNumber(sim.nextNumber()),
		Customer:    state.CustomerID(fmt.Sprintf("customer-%d", i+1)),
		Protocol:    protocol,
		Address:     netip.AddrPortFrom(address, 443),
		Way:         mode,
		IdleTimeout: time.Minute,
	})
}

// nextNumber allocates a number for a service or target.
func (sim *Simulation) nextNumber() uint32 {
	sim.release.NextNumber++
	return sim.release.NextNumber - 1
}

// Service returns the i-th service.
func (sim *Simulation) Service(i int) *state.Service { return &sim.release.Services[i] }

// BeginRelease begins a new release; the caller edits it and calls Publish.
func (sim *Simulation) BeginRelease() {
	sim.release.Version++
	sim.release.Services = slices.Clone(sim.release.Services)
	for i := range sim.release.Services {
		sim.release.Services[i].Targets = slices.Clone(sim.release.Services[i].Targets)
	}
}

// AddTarget adds a target to the i-th service of the release.
func (sim *Simulation) AddTarget(i int, domain state.DomainID) state.TargetID {
	number := sim.nextNumber()
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
	targets := append(sim.release.Services[i].Targets, target)
	sim.release.Services[i].Targets = targets
	return target.ID
}

// WithdrawTarget removes the n-th target of the i-th service.
func (sim *Simulation) WithdrawTarget(i, n int) {
	service := &sim.release.Services[i]
	service.Retired = append(slices.Clone(service.Retired), service.Targets[n])
	service.Targets = slices.Delete(service.Targets, n, n+1)
}

// DrainTarget marks the n-th target of the i-th service as leaving.
func (sim *Simulation) DrainTarget(i, n int) { sim.release.Services[i].Targets[n].Leaving = true }

// Publish puts the release in force on each host after a random delay of up to
// releaseSkew.
func (sim *Simulation) Publish() {
	sim.syncTargets()
	release := sim.release
	for _, h := range sim.hosts {
		sim.AfterFunc(sim.randomUpTo(releaseSkew), func() { h.ApplyRelease(release) })
	}
}

// randomUpTo returns a random duration below d.
func (sim *Simulation) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(sim.random.Float64() * float64(d))
}

// announceMember updates a member in the views of all other running hosts, each at
// a random time within viewSkew.
func (sim *Simulation) announceMember(m state.Member, after time.Duration) {
	sim.AfterFunc(after, func() {
		for _, h := range sim.hosts {
			if h.ID != m.ID && h.running {
				sim.AfterFunc(sim.randomUpTo(viewSkew), func() { h.SetMember(m) })
			}
		}
	})
}

// KillHost crashes the n-th host.
func (sim *Simulation) KillHost(n int) {
	h := sim.hosts[n]
	h.Kill(fabricLag)
	m := h.Member()
	m.Status = state.HostDead
	sim.announceMember(m, detectionDelay)
}

// DrainHost starts the graceful leave of the n-th host.
func (sim *Simulation) DrainHost(n int) {
	h := sim.hosts[n]
	h.Leave(fabricLag, leaveLinger)
	m := h.Member()
	sim.announceMember(m, 0)
	m.Status = state.HostDead
	sim.announceMember(m, 2*leaveLinger)
}

// PartitionDomain partitions a failure domain from the others for d. Each side
// declares the hosts of the other dead, and adds them again after the partition.
func (sim *Simulation) PartitionDomain(domain state.DomainID, d time.Duration) {
	sim.isolated = domain
	sim.AfterFunc(d, func() { sim.isolated = "" })
	for _, h := range sim.hosts {
		for _, other := range sim.hosts {
			if (h.Domain == domain) == (other.Domain == domain) {
				continue
			}
			m := other.Member()
			dead := m
			dead.Status = state.HostDead
			sim.AfterFunc(detectionDelay+sim.randomUpTo(viewSkew), func() { h.SetMember(dead) })
			sim.AfterFunc(d+detectionDelay+sim.randomUpTo(viewSkew), func() { h.SetMember(m) })
		}
	}
}

// JoinHost starts a new host in a domain.
func (sim *Simulation) JoinHost(domain state.DomainID) {
	id := state.HostID(fmt.Sprintf("host-%d", len(sim.hosts)+1))
	h := sim.StartHost(id, domain, sim.liveHost().Members())
	sim.announceMember(h.Member(), 0)
}

// liveHost returns a host that runs and is not leaving.
func (sim *Simulation) liveHost() *Host {
	i := slices.IndexFunc(sim.hosts, func(h *Host) bool { return h.running && !h.leaving })
	return sim.hosts[i]
}

// OpenFlows opens perTarget flows for each target of every service, evenly spaced
// over d.
func (sim *Simulation) OpenFlows(perTarget int, d time.Duration, plan FlowPlan) {
	for i := range sim.release.Services {
		n := len(sim.release.Services[i].Targets) * perTarget
		sim.ScheduleEvenly(n, d, func(int) { sim.OpenFlow(sim.Service(i), plan) })
	}
}
