package state

import "slices"

// isEmpty reports whether the note changes nothing.
func (n *Note) isEmpty() bool {
	changes := len(n.AddDomains) + len(n.WithdrawDomains) +
		len(n.SetCustomers) + len(n.WithdrawCustomers) +
		len(n.AddServices) + len(n.ChangeServices) + len(n.WithdrawServices) +
		len(n.AddTargets) + len(n.ChangeTargets) + len(n.WithdrawTargets)
	return changes == 0
}

func (b *releaseBuilder) applyDomains(note *Note) {
	for _, id := range note.AddDomains {
		if slices.Contains(b.domains, id) {
			b.addProblem(ProblemDuplicate, "add.domain", string(id), "is there already")
			continue
		}
		b.domains = append(b.domains, id)
	}
	for _, id := range note.WithdrawDomains {
		index := slices.Index(b.domains, id)
		if index < 0 {
			b.addProblem(ProblemUnknown, "withdraw.domain", string(id), "is not there")
			continue
		}
		b.domains = slices.Delete(b.domains, index, index+1)
	}
	for _, id := range note.Without {
		if !slices.Contains(b.domains, id) {
			b.addProblem(ProblemUnknown, "without", string(id), "must be a failure domain of the release")
		}
	}
}

// customerIndex returns the index of a customer, -1 if there is none.
func (b *releaseBuilder) customerIndex(id CustomerID) int {
	return slices.IndexFunc(b.customers, func(c Customer) bool { return c.ID == id })
}

func (b *releaseBuilder) applyCustomers(note *Note) {
	for _, customer := range note.SetCustomers {
		if customer.Weight < MinWeight {
			b.addProblem(ProblemInvalidWeight, "set.customer", string(customer.ID), "weight must be at least 1")
		}
		if index := b.customerIndex(customer.ID); index >= 0 {
			b.customers[index] = customer
			continue
		}
		b.customers = append(b.customers, customer)
	}
	for _, id := range note.WithdrawCustomers {
		index := b.customerIndex(id)
		if index < 0 {
			b.addProblem(ProblemUnknown, "withdraw.customer", string(id), "is not there")
			continue
		}
		b.customers = slices.Delete(b.customers, index, index+1)
	}
}

func (b *releaseBuilder) applyServices(note *Note) {
	for _, id := range note.WithdrawServices {
		b.withdrawService(id)
	}
	for _, spec := range note.AddServices {
		b.addService(spec)
	}
	for _, change := range note.ChangeServices {
		b.changeService(change)
	}
}

func (b *releaseBuilder) withdrawService(id ServiceID) {
	service := b.services[id]
	if service == nil {
		b.addProblem(ProblemUnknown, "withdraw.service", string(id), "is not there")
		return
	}
	for _, target := range service.Targets {
		b.unindexTarget(target.ID)
	}
	delete(b.servicesByAddress, ServiceAddress{service.Protocol, service.Address})
	delete(b.services, id)
}

func (b *releaseBuilder) addService(spec ServiceSpec) {
	if b.services[spec.ID] != nil {
		b.addProblem(ProblemDuplicate, "add.service", string(spec.ID), "is there already")
		return
	}
	address := ServiceAddress{spec.Protocol, spec.Address}
	if holder, taken := b.servicesByAddress[address]; taken {
		b.addProblem(ProblemAddressTaken, "add.service", string(spec.ID), "address belongs to service "+string(holder))
		return
	}
	b.servicesByAddress[address] = spec.ID
	b.ownsTargets[spec.ID] = true
	b.services[spec.ID] = &Service{
		ID:          spec.ID,
		Number:      ServiceNumber(b.assignNumber()),
		Customer:    spec.Customer,
		Protocol:    spec.Protocol,
		Address:     spec.Address,
		Way:         spec.Way,
		IdleTimeout: spec.IdleTimeout,
	}
}

func (b *releaseBuilder) changeService(change ServiceChange) {
	service := b.services[change.ID]
	if service == nil {
		b.addProblem(ProblemUnknown, "change.service", string(change.ID), "is not there")
		return
	}
	if change.Way != nil && *change.Way != service.Way {
		b.addProblem(ProblemForwardingModeFixed, "change.service", string(service.ID), "the way cannot be changed; withdraw the service and add another")
	}
	if change.IdleTimeout != nil {
		service.IdleTimeout = *change.IdleTimeout
	}
}

// unindexTarget removes a target from the indexes; it does not change its service.
func (b *releaseBuilder) unindexTarget(id TargetID) {
	location := b.targets[id]
	delete(b.targetsByAddress, location.address)
	delete(b.targets, id)
}

func (b *releaseBuilder) withdrawTargets(note *Note) {
	for _, id := range note.WithdrawTargets {
		location, known := b.targets[id]
		if !known {
			b.addProblem(ProblemUnknown, "withdraw.target", string(id), "is not there")
			continue
		}
		service := b.mutableService(location.service)
		service.retire(id)
		b.unindexTarget(id)
	}
}

// retire moves a target from Targets to Retired and drops the oldest retired targets
// above MaxRetired. The Targets slice must not be shared with another release.
func (s *Service) retire(id TargetID) {
	index := slices.IndexFunc(s.Targets, func(t Target) bool { return t.ID == id })
	retired := append(slices.Clone(s.Retired), s.Targets[index])
	s.Retired = retired[max(0, len(retired)-MaxRetired):]
	s.Targets = slices.Delete(s.Targets, index, index+1)
}

func (b *releaseBuilder) addTargets(note *Note) {
	for _, spec := range note.AddTargets {
		b.addTarget(note, spec)
	}
}

func (b *releaseBuilder) addTarget(note *Note, spec TargetSpec) {
	const field = "add.target"
	id := string(spec.ID)
	if _, known := b.targets[spec.ID]; known || slices.Contains(note.WithdrawTargets, spec.ID) {
		b.addProblem(ProblemDuplicate, field, id, "is there already or is withdrawn by the same note")
		return
	}
	service := b.mutableService(spec.Service)
	if service == nil {
		b.addProblem(ProblemUnknown, field, id, "service "+string(spec.Service)+" is not there")
		return
	}
	address := addressKey(spec.Address.String())
	if holder, taken := b.targetsByAddress[address]; taken {
		b.addProblem(ProblemAddressTaken, field, id, "address belongs to target "+string(holder))
		return
	}
	if !slices.Contains(b.domains, spec.Domain) {
		b.addProblem(ProblemUnknown, field, id, "failure domain "+string(spec.Domain)+" is not there")
	}
	b.checkWeight(field, id, spec.Weight)
	b.targetsByAddress[address] = spec.ID
	b.targets[spec.ID] = targetLocation{service: spec.Service, address: address}
	service.Targets = append(service.Targets, Target{
		ID:          spec.ID,
		Number:      TargetNumber(b.assignNumber()),
		Domain:      spec.Domain,
		Address:     spec.Address,
		Weight:      spec.Weight,
		Slots:       spec.Slots,
		Connections: spec.Connections,
	})
}

func (b *releaseBuilder) checkWeight(field, id string, weight uint32) {
	if weight < MinWeight || weight > MaxWeight {
		b.addProblem(ProblemInvalidWeight, field, id, "weight must be 1 to 100")
	}
}

func (b *releaseBuilder) changeTargets(note *Note) {
	for _, change := range note.ChangeTargets {
		b.changeTarget(change)
	}
}

func (b *releaseBuilder) changeTarget(change TargetChange) {
	const field = "change.target"
	location, known := b.targets[change.ID]
	if !known {
		b.addProblem(ProblemUnknown, field, string(change.ID), "is not there")
		return
	}
	service := b.mutableService(location.service)
	index := slices.IndexFunc(service.Targets, func(t Target) bool { return t.ID == change.ID })
	target := &service.Targets[index]
	if change.Weight != nil {
		b.checkWeight(field, string(change.ID), *change.Weight)
		target.Weight = *change.Weight
	}
	if change.Slots != nil {
		target.Slots = *change.Slots
	}
	if change.Connections != nil {
		target.Connections = *change.Connections
	}
	if change.Leaving != nil {
		target.Leaving = *change.Leaving
	}
}
