package state

import (
	"slices"
	"strings"
)

// checkWhole reports what is wrong with the release as a whole. Services are
// visited in the order of their IDs, so that every host reports the same.
func (b *builder) checkWhole(note *Note) {
	if len(b.domains) == 0 {
		b.report(ProblemNoDomain, "withdraw.domain", string(note.ID), "a release needs a failure domain")
	}
	for _, service := range b.sortedServices() {
		b.checkService(service)
	}
}

func (b *builder) sortedServices() []*Service {
	services := make([]*Service, 0, len(b.services))
	for _, service := range b.services {
		services = append(services, service)
	}
	slices.SortFunc(services, func(x, y *Service) int {
		return strings.Compare(string(x.ID), string(y.ID))
	})
	return services
}

func (b *builder) checkService(service *Service) {
	if b.customer(service.Customer) < 0 {
		b.report(ProblemUnknown, "service", string(service.ID), "customer "+string(service.Customer)+" is not there")
	}
	staying := 0
	for _, target := range service.Targets {
		if !target.Leaving {
			staying++
		}
		if !slices.Contains(b.domains, target.Domain) {
			b.report(ProblemInUse, "withdraw.domain", string(target.Domain), "target "+string(target.ID)+" is in it")
		}
	}
	if staying == 0 {
		b.report(ProblemNoTarget, "service", string(service.ID), "needs a target that is not leaving")
	}
}
