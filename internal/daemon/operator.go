package daemon

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/rpcapi"
	"github.com/guavawharf/guavawharf/internal/state"
)

// operatorHandler answers operators' queries. Queries that read the control state run on
// the control goroutine.
type operatorHandler struct{ daemon *Daemon }

var statusNames = map[state.HostStatus]string{
	state.HostAlive:   "alive",
	state.HostSuspect: "suspect",
	state.HostLeaving: "leaving",
	state.HostDead:    "dead",
}

// Hosts lists the entry hosts and reports whether this host is ready.
func (o *operatorHandler) Hosts(rpcapi.Query) rpcapi.HostsReply {
	reply := rpcapi.HostsReply{Answering: o.daemon.settings.Host.ID}
	o.daemon.control.runQuery(func() {
		machine := o.daemon.control.machine
		now := time.Now()
		reply.Version = o.daemon.control.snapshot.Version
		reply.Ready = machine.Ready(now)
		reply.Awaited = machine.Awaited(now)
		for _, member := range machine.Members() {
			reply.Rows = append(reply.Rows, rpcapi.HostRow{
				Host:        member.Host,
				Status:      statusNames[member.Status],
				Incarnation: member.Run,
				Version:     member.Version,
			})
		}
	})
	return reply
}

// Targets lists the targets, sorted by service and target.
func (o *operatorHandler) Targets(query rpcapi.Query) rpcapi.TargetsReply {
	reply := rpcapi.TargetsReply{Answering: o.daemon.settings.Host.ID}
	o.daemon.control.runQuery(func() {
		snapshot := o.daemon.control.snapshot
		reply.Version = snapshot.Version
		for _, service := range selectServices(snapshot, query.Service) {
			for _, entry := range service.TargetEntries {
				reply.Rows = append(reply.Rows, targetRow(service.ID, entry))
			}
		}
	})
	return reply
}

func targetRow(service state.ServiceID, entry *state.TargetEntry) rpcapi.TargetRow {
	return rpcapi.TargetRow{
		Service:    service,
		Target:     entry.ID,
		Domain:     entry.Domain,
		Address:    entry.Address.String(),
		Leaving:    entry.Leaving,
		Withdrawn:  entry.Withdrawn,
		Ejected:    entry.Ejected,
		ShareMilli: entry.ShareMilli,
		OpenFlows:  entry.Counters.OpenFlows.Load(),
		Openings:   entry.Counters.Openings.Load(),
	}
}

var forwardingModeNames = map[state.ForwardingMode]string{
	state.ForwardByOwner: "owner",
	state.ForwardByHash:  "hash",
}

// Flows returns the flow counts of each service.
func (o *operatorHandler) Flows(query rpcapi.Query) rpcapi.FlowsReply {
	reply := rpcapi.FlowsReply{Answering: o.daemon.settings.Host.ID}
	o.daemon.control.runQuery(func() {
		snapshot := o.daemon.control.snapshot
		for _, service := range selectServices(snapshot, query.Service) {
			reply.Rows = append(reply.Rows, o.flowRow(service))
		}
	})
	return reply
}

func (o *operatorHandler) flowRow(service *state.ServiceEntry) rpcapi.FlowRow {
	row := rpcapi.FlowRow{
		Service:  service.ID,
		Customer: service.Customer,
		Way:      forwardingModeNames[service.Way],
		Refused:  o.daemon.packetPool.Refused(service.Number),
	}
	for _, entry := range service.TargetEntries {
		row.Open += entry.Counters.OpenFlows.Load()
		row.Opened += entry.Counters.Openings.Load()
	}
	return row
}

// Counters lists every counter, sorted by name.
func (o *operatorHandler) Counters(rpcapi.Query) rpcapi.CountersReply {
	reply := rpcapi.CountersReply{Answering: o.daemon.settings.Host.ID, At: time.Now()}
	values := o.daemon.counterValues()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		reply.Rows = append(reply.Rows, rpcapi.Counter{Name: name, Value: values[name]})
	}
	return reply
}

// selectServices returns the service with the given ID, or all services sorted by ID if
// the ID is empty.
func selectServices(snapshot *state.Snapshot, id state.ServiceID) []*state.ServiceEntry {
	var services []*state.ServiceEntry
	for _, service := range snapshot.Services {
		if id == "" || service.ID == id {
			services = append(services, service)
		}
	}
	slices.SortFunc(services, func(a, b *state.ServiceEntry) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return services
}
