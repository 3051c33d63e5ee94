package state

import (
	"slices"
	"strings"
)

// Limits of a target's weight.
const (
	MinWeight = 1
	MaxWeight = 100
)

// Apply returns the release that the note makes of base, or every problem that
// stands against it. It changes neither argument; services that the note leaves
// alone share their targets with base. A nil base is the empty release.
func Apply(base *Release, note *Note) (*Release, []Problem) {
	if base == nil {
		base = &Release{}
	}
	b := newBuilder(base)
	b.checkBase(note)
	b.applyDomains(note)
	b.applyCustomers(note)
	b.withdrawTargets(note)
	b.applyServices(note)
	b.addTargets(note)
	b.changeTargets(note)
	b.checkWhole(note)
	if len(b.problems) > 0 {
		return nil, b.problems
	}
	return b.finish(note), nil
}

// targetPlace locates a target in the release being built.
type targetPlace struct {
	service ServiceID
	address TargetAddress
}

// TargetAddress is the canonical text of a target's address.
type TargetAddress string

// builder holds the release being built, indexed.
type builder struct {
	base      *Release
	domains   []DomainID
	customers []Customer
	services  map[ServiceID]*Service
	// owned marks services whose target slice belongs to the builder.
	owned     map[ServiceID]bool
	addresses map[ServiceAddress]ServiceID
	targets   map[TargetID]targetPlace
	taken     map[TargetAddress]TargetID
	next      uint32
	problems  []Problem
}

func newBuilder(base *Release) *builder {
	b := &builder{
		base:      base,
		domains:   slices.Clone(base.Domains),
		customers: slices.Clone(base.Customers),
		services:  make(map[ServiceID]*Service, len(base.Services)),
		owned:     make(map[ServiceID]bool),
		addresses: make(map[ServiceAddress]ServiceID, len(base.Services)),
		targets:   make(map[TargetID]targetPlace),
		taken:     make(map[TargetAddress]TargetID),
		next:      max(base.NextNumber, 1),
	}
	for i := range base.Services {
		b.index(base.Services[i])
	}
	return b
}

func (b *builder) index(service Service) {
	b.services[service.ID] = &service
	b.addresses[ServiceAddress{service.Protocol, service.Address}] = service.ID
	for _, target := range service.Targets {
		address := TargetAddress(target.Address.String())
		b.targets[target.ID] = targetPlace{service: service.ID, address: address}
		b.taken[address] = target.ID
	}
}

func (b *builder) report(code ProblemCode, field, id, detail string) {
	b.problems = append(b.problems, Problem{Code: code, Field: field, ID: id, Detail: detail})
}

func (b *builder) checkBase(note *Note) {
	if note.Base != b.base.Version {
		b.report(ProblemBase, "base", string(note.ID), "must be the version in force")
	}
	if note.isEmpty() {
		b.report(ProblemEmpty, "note", string(note.ID), "must change something")
	}
}

// number returns the next unused number.
func (b *builder) number() uint32 {
	number := b.next
	b.next++
	return number
}

// editable returns the service with a target slice that may be changed.
func (b *builder) editable(id ServiceID) *Service {
	service := b.services[id]
	if service != nil && !b.owned[id] {
		service.Targets = slices.Clone(service.Targets)
		b.owned[id] = true
	}
	return service
}

func (b *builder) finish(note *Note) *Release {
	release := &Release{
		Version:    b.base.Version + 1,
		Note:       note.ID,
		Domains:    b.domains,
		Customers:  b.customers,
		Services:   make([]Service, 0, len(b.services)),
		NextNumber: b.next,
	}
	slices.Sort(release.Domains)
	slices.SortFunc(release.Customers, func(x, y Customer) int {
		return strings.Compare(string(x.ID), string(y.ID))
	})
	for _, service := range b.services {
		release.Services = append(release.Services, *service)
	}
	slices.SortFunc(release.Services, func(x, y Service) int {
		return strings.Compare(string(x.ID), string(y.ID))
	})
	for i := range release.Services {
		if b.owned[release.Services[i].ID] {
			sortTargets(release.Services[i].Targets)
		}
	}
	return release
}

func sortTargets(targets []Target) {
	slices.SortFunc(targets, func(x, y Target) int {
		return strings.Compare(string(x.ID), string(y.ID))
	})
}
