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

// Topology is the shape of one user's installation.
type Topology struct {
	Name string
	// Hosts is the number of entry hosts of each failure domain.
	Hosts []int
	// Targets are the numbers of targets of the large and the small service.
	Targets [2]int
	// Between is the delay between failure domains.
	Between time.Duration
	// Protocol is that of all services; zero is TCP.
	Protocol state.Protocol
}

// Huaman and Hanbit are today's two installations.
var (
	Huaman = Topology{Name: "huaman", Hosts: []int{3, 2, 2}, Targets: [2]int{14, 4}, Between: 3 * time.Millisecond}
	Hanbit = Topology{Name: "hanbit", Hosts: []int{2, 2, 2, 1}, Targets: [2]int{14, 4}, Between: 5 * time.Millisecond}
)

// Spread of changes over the hosts.
const (
	// releaseSkew is the longest time until a release is in force on a host.
	releaseSkew = 500 * time.Millisecond
	// viewSkew is the longest time between two hosts' learning of a change.
	viewSkew = 300 * time.Millisecond
	// detection is the time until a dead host is declared dead.
	detection = 1500 * time.Millisecond
	// fabricLag is the time until the fabric follows the host list.
	fabricLag = time.Second
	// leaveLinger is how long a leaving host goes on relaying.
	leaveLinger = 2 * time.Second
)

// linkOf returns the link of a topology.
func linkOf(t Topology) Link {
	return Link{
		Inside:  200 * time.Microsecond,
		Between: t.Between,
		Caller:  time.Millisecond,
		Jitter:  0.3,
		Loss:    0.001,
	}
}

// domainID names the i-th failure domain.
func domainID(i int) state.DomainID { return state.DomainID(fmt.Sprintf("domain-%d", i+1)) }

// Start returns an experiment with a topology's hosts, services and targets.
func Start(t Topology, seed uint64, way state.ForwardingMode, settings traffic.Settings) *Bed {
	b := NewBed(seed, linkOf(t), settings)
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
			members = append(members, state.Member{Host: h, Run: 1})
		}
	}
	for _, m := range members {
		b.StartHost(m.ID, m.Domain, members)
	}
	return b
}

// addService adds the i-th service to the release.
func (b *Bed) addService(i int, way state.ForwardingMode, protocol state.Protocol) {
	address := netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)})
	b.release.Services = append(b.release.Services, state.Service{
		ID:          state.ServiceID(fmt.Sprintf("service-%d", i+1)),
		Number:      state.ServiceNumber(b.number()),
		Customer:    state.CustomerID(fmt.Sprintf("customer-%d", i+1)),
		Protocol:    protocol,
		Address:     netip.AddrPortFrom(address, 443),
		Way:         way,
		IdleTimeout: time.Minute,
	})
}

// number takes the next number.
func (b *Bed) number() uint32 {
	b.release.NextNumber++
	return b.release.NextNumber - 1
}

// Service returns the i-th service.
func (b *Bed) Service(i int) *state.Service { return &b.release.Services[i] }

// Change begins a new release; the caller edits it and calls Publish.
func (b *Bed) Change() {
	b.release.Version++
	b.release.Services = slices.Clone(b.release.Services)
	for i := range b.release.Services {
		b.release.Services[i].Targets = slices.Clone(b.release.Services[i].Targets)
	}
}

// AddTarget adds a target to the i-th service of the release.
func (b *Bed) AddTarget(i int, domain state.DomainID) state.TargetID {
	number := b.number()
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
func (b *Bed) WithdrawTarget(i, n int) {
	service := &b.release.Services[i]
	service.Retired = append(slices.Clone(service.Retired), service.Targets[n])
	service.Targets = slices.Delete(service.Targets, n, n+1)
}

// DrainTarget marks the n-th target of the i-th service as leaving.
func (b *Bed) DrainTarget(i, n int) { b.release.Services[i].Targets[n].Leaving = true }

// Publish puts the release in force, host by host.
func (b *Bed) Publish() {
	b.syncTargets()
	release := b.release
	for _, h := range b.hosts {
		b.After(b.upTo(releaseSkew), func() { h.Install(release) })
	}
}

// upTo returns a random part of a duration.
func (b *Bed) upTo(d time.Duration) time.Duration {
	return time.Duration(b.random.Float64() * float64(d))
}

// tell changes what all other hosts believe of a member, one by one.
func (b *Bed) tell(m state.Member, after time.Duration) {
	b.After(after, func() {
		for _, h := range b.hosts {
			if h.ID != m.ID && h.up {
				b.After(b.upTo(viewSkew), func() { h.Believe(m) })
			}
		}
	})
}

// KillHost kills the n-th host.
func (b *Bed) KillHost(n int) {
	h := b.hosts[n]
	h.Kill(fabricLag)
	m := h.Member()
	m.Status = state.HostDead
	b.tell(m, detection)
}

// DrainHost starts the graceful leave of the n-th host.
func (b *Bed) DrainHost(n int) {
	h := b.hosts[n]
	h.Leave(fabricLag, leaveLinger)
	m := h.Member()
	b.tell(m, 0)
	m.Status = state.HostDead
	b.tell(m, 2*leaveLinger)
}

// CutDomain cuts a failure domain off from the others for a time. Each side
// declares the hosts of the other dead, and learns of them again afterwards.
func (b *Bed) CutDomain(domain state.DomainID, d time.Duration) {
	b.cut = domain
	b.After(d, func() { b.cut = "" })
	for _, h := range b.hosts {
		for _, other := range b.hosts {
			if (h.Domain == domain) == (other.Domain == domain) {
				continue
			}
			m := other.Member()
			dead := m
			dead.Status = state.HostDead
			b.After(detection+b.upTo(viewSkew), func() { h.Believe(dead) })
			b.After(d+detection+b.upTo(viewSkew), func() { h.Believe(m) })
		}
	}
}

// JoinHost starts a new host in a domain.
func (b *Bed) JoinHost(domain state.DomainID) {
	id := state.HostID(fmt.Sprintf("host-%d", len(b.hosts)+1))
	h := b.StartHost(id, domain, b.liveHost().Members())
	b.tell(h.Member(), 0)
}

// liveHost returns a host that is up.
func (b *Bed) liveHost() *Host {
	i := slices.IndexFunc(b.hosts, func(h *Host) bool { return h.up && !h.leaving })
	return b.hosts[i]
}

// Load opens flows at the services at a steady pace: perTarget flows for each
// target, over d.
func (b *Bed) Load(perTarget int, d time.Duration, plan Plan) {
	for i := range b.release.Services {
		n := len(b.release.Services[i].Targets) * perTarget
		b.Spread(n, d, func(int) { b.Open(b.Service(i), plan) })
	}
}
