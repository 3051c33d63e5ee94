package state

import (
	"slices"
	"strings"
)

// checkRelease adds the problems of the release as a whole. It visits services in the
// order of their IDs, so that every host reports the same problems in the same order.
func (b *releaseBuilder) checkRelease(note *Note) {
	if len(b.domains) == 0 {
		b.addProblem(ProblemNoDomain, "withdraw.domain", string(note.ID), "a release needs a failure domain")
	}
	for _, service := range b.sortedServices() {
		b.checkService(service)
	}
}

func (b *releaseBuilder) sortedServices() []*Service {
	services := make([]*Service, 0, len(b.services))
	for _, service := range b.services {
		services = append(services, service)
	}
	slices.SortFunc(services, func(x, y *Service) int {
		return strings.Compare(string(x.ID), string(y.ID))
	})
	return services
}

func (b *releaseBuilder) checkService(service *Service) {
	if b.customerIndex(service.Customer) < 0 {
		b.addProblem(ProblemUnknown, "service", string(service.ID), "customer "+string(service.Customer)+" is not there")
	}
	staying := 0
	for _, target := range service.Targets {
		if !target.Leaving {
			staying++
		}
		if !slices.Contains(b.domains, target.Domain) {
			b.addProblem(ProblemInUse, "withdraw.domain", string(target.Domain), "target "+string(target.ID)+" belongs to it")
		}
	}
	if staying == 0 {
		b.addProblem(ProblemNoTarget, "service", string(service.ID), "needs a target that is not leaving")
	}
}
