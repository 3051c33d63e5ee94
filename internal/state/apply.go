package state

import (
	"slices"
	"strings"
)

// MinWeight and MaxWeight bound a target's weight. MinWeight also applies to the
// weight of a customer.
const (
	MinWeight = 1
	MaxWeight = 100
)

// Apply returns the release that results from applying the note to base, or all
// problems that prevent it. It modifies neither argument; services whose targets the
// note does not change share their Targets slice with base. A nil base is the empty
// release.
func Apply(base *Release, note *Note) (*Release, []Problem) {
	if base == nil {
		base = &Release{}
	}
	b := newReleaseBuilder(base)
	b.checkNote(note)
	b.applyDomains(note)
	b.applyCustomers(note)
	b.withdrawTargets(note)
	b.applyServices(note)
	b.addTargets(note)
	b.changeTargets(note)
	b.checkRelease(note)
	if len(b.problems) > 0 {
		return nil, b.problems
	}
	return b.build(note), nil
}

// targetLocation is where a target is found in the indexes of a releaseBuilder.
type targetLocation struct {
	service ServiceID
	address addressKey
}

// addressKey is the canonical text form of a target's address.
type addressKey string

// releaseBuilder holds a release under construction, indexed by identifier and
// address.
type releaseBuilder struct {
	base      *Release
	domains   []DomainID
	customers []Customer
	services  map[ServiceID]*Service
	// ownsTargets contains the services whose Targets slice is not shared with base
	// and so may be modified.
	ownsTargets       map[ServiceID]bool
	servicesByAddress map[ServiceAddress]ServiceID
	targets           map[TargetID]targetLocation
	targetsByAddress  map[addressKey]TargetID
	nextNumber        uint32
	problems          []Problem
}

func newReleaseBuilder(base *Release) *releaseBuilder {
	b := &releaseBuilder{
		base:              base,
		domains:           slices.Clone(base.Domains),
		customers:         slices.Clone(base.Customers),
		services:          make(map[ServiceID]*Service, len(base.Services)),
		ownsTargets:       make(map[ServiceID]bool),
		servicesByAddress: make(map[ServiceAddress]ServiceID, len(base.Services)),
		targets:           make(map[TargetID]targetLocation),
		targetsByAddress:  make(map[addressKey]TargetID),
		nextNumber:        max(base.NextNumber, 1),
	}
	for i := range base.Services {
		b.indexService(base.Services[i])
	}
	return b
}

func (b *releaseBuilder) indexService(service Service) {
	b.services[service.ID] = &service
	b.servicesByAddress[ServiceAddress{service.Protocol, service.Address}] = service.ID
	for _, target := range service.Targets {
		address := addressKey(target.Address.String())
		b.targets[target.ID] = targetLocation{service: service.ID, address: address}
		b.targetsByAddress[address] = target.ID
	}
}

func (b *releaseBuilder) addProblem(code ProblemCode, field, id, detail string) {
	b.problems = append(b.problems, Problem{Code: code, Field: field, ID: id, Detail: detail})
}

func (b *releaseBuilder) checkNote(note *Note) {
	if note.Base != b.base.Version {
		b.addProblem(ProblemBase, "base", string(note.ID), "must be the version in force")
	}
	if note.isEmpty() {
		b.addProblem(ProblemEmpty, "note", string(note.ID), "must contain at least one change")
	}
}

// assignNumber returns the next unused target or service number.
func (b *releaseBuilder) assignNumber() uint32 {
	number := b.nextNumber
	b.nextNumber++
	return number
}

// mutableService returns the service after making sure that its Targets slice is a
// copy that may be modified. It returns nil for an unknown service.
func (b *releaseBuilder) mutableService(id ServiceID) *Service {
	service := b.services[id]
	if service != nil && !b.ownsTargets[id] {
		service.Targets = slices.Clone(service.Targets)
		b.ownsTargets[id] = true
	}
	return service
}

func (b *releaseBuilder) build(note *Note) *Release {
	release := &Release{
		Version:    b.base.Version + 1,
		Note:       note.ID,
		Domains:    b.domains,
		Customers:  b.customers,
		Services:   make([]Service, 0, len(b.services)),
		NextNumber: b.nextNumber,
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
		if b.ownsTargets[release.Services[i].ID] {
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
