package edge

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/guavawharf/guavawharf/internal/coordination/steer"
	"github.com/guavawharf/guavawharf/internal/protocol/edgeapi"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// inspectTimeout bounds the wait for the traffic loop, which is busy for no longer than
// the packets of one read take.
const inspectTimeout = time.Second

// operator is the net/rpc service for operators.
type operator struct {
	edge *Edge
}

func checkVersion(query edgeapi.Query) error {
	if query.Version != edgeapi.Version {
		return oops.Code("interface_version").Errorf("interface version mismatch: request has %d, this host serves %d", query.Version, edgeapi.Version)
	}
	return nil
}

// Config returns the configuration in force.
func (o *operator) Config(query edgeapi.Query, reply *edgeapi.ConfigReply) error {
	if err := checkVersion(query); err != nil {
		return err
	}
	e := o.edge
	*reply = edgeapi.ConfigReply{Host: e.settings.HostID, Version: e.configVersion(), Age: e.age(&e.configReadAt)}
	view := e.view.Load()
	if view == nil {
		return nil
	}
	for _, entry := range view.Routes {
		reply.Routes = append(reply.Routes, routeRow(entry))
	}
	slices.SortFunc(reply.Routes, func(a, b edgeapi.Route) int { return cmp.Compare(a.Name, b.Name) })
	return nil
}

func routeRow(entry *catalog.RouteEntry) edgeapi.Route {
	offered := 0
	for _, share := range entry.Shares {
		offered += len(share.Pool.Offered)
	}
	return edgeapi.Route{
		Name: entry.Name, Address: entry.Address, Pools: entry.Pools,
		Idempotent: entry.Idempotent, Priority: entry.Priority, Targets: offered,
	}
}

// Targets returns the targets, all or those of one pool, with this host's view of their
// liveness.
func (o *operator) Targets(query edgeapi.Query, reply *edgeapi.TargetsReply) error {
	if err := checkVersion(query); err != nil {
		return err
	}
	e := o.edge
	snapshot, err := e.traffic.inspect()
	if err != nil {
		return err
	}
	*reply = edgeapi.TargetsReply{Host: e.settings.HostID, Age: e.age(&e.targetsReadAt)}
	view := e.view.Load()
	if view == nil {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(view.Pools)) {
		if query.Pool != "" && query.Pool != id {
			continue
		}
		for _, target := range view.Pools[id].All() {
			reply.Targets = append(reply.Targets, targetRow(view.Pools[id], target, view.DrainedDomains, snapshot.targets))
		}
	}
	return nil
}

// targetRow returns the row of one target of a pool. Its health is HealthUnseen if states
// has no entry for it.
func targetRow(pool *catalog.Pool, target *catalog.Target, drained map[state.DomainID]bool, states []steer.TargetState) edgeapi.Target {
	row := edgeapi.Target{
		Name: target.Name, Pool: target.Pool, Domain: target.Domain, Address: target.Address,
		State: edgeapi.StateLeft, Belief: edgeapi.HealthUnseen,
	}
	switch {
	case slices.Contains(pool.Offered, target):
		row.State = edgeapi.StateOffered
	case target.Draining:
		row.State = edgeapi.StateDraining
	case drained[target.Domain]:
		row.State = edgeapi.StateDomainDrained
	}
	i := slices.IndexFunc(states, func(s steer.TargetState) bool { return s.ID == target.ID })
	if i < 0 {
		return row
	}
	observed := states[i]
	row.Belief = targetHealth(observed)
	row.Missed, row.Silence, row.Open, row.Waiting, row.Queue = observed.Missed, observed.Silence, observed.Open, observed.Waiting, observed.Queue
	return row
}

func targetHealth(s steer.TargetState) edgeapi.Health {
	switch {
	case s.Down:
		return edgeapi.HealthDown
	case s.Checking:
		return edgeapi.HealthChecking
	}
	return edgeapi.HealthUp
}

// Host returns the status of this host.
func (o *operator) Host(query edgeapi.Query, reply *edgeapi.HostReply) error {
	if err := checkVersion(query); err != nil {
		return err
	}
	e := o.edge
	snapshot, err := e.traffic.inspect()
	if err != nil {
		return err
	}
	source := e.control.source.Load()
	*reply = edgeapi.HostReply{
		Host: e.settings.HostID, Domain: e.settings.Domain, Build: e.build, Uptime: e.now(),
		Ready: e.ready(), Leaving: e.leaving.Load(),
		Config: e.configVersion(), ConfigAge: e.age(&e.configReadAt), TargetsAge: e.age(&e.targetsReadAt),
		DrainedDomains: e.drainedDomains(), ReadsDrains: e.control.drains != nil, DrainsAge: e.age(&e.drainsReadAt),
		StoreAway: source.storeUnavailable, Asks: source.peer, AskedBy: e.control.peerServer.pollerHosts(), Flows: snapshot.flows,
	}
	return nil
}
