package ctl

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/edgeapi"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// ageResolution is the resolution of ages in tables.
const ageResolution = time.Millisecond

// edgeQuery returns the query for hosts that run guavaedge.
func (c *Command) edgeQuery() edgeapi.Query {
	return edgeapi.Query{Version: edgeapi.Version, Pool: catalog.PoolID(c.options.Pool)}
}

func (c *Command) edgeConfig(ctx context.Context) error {
	replies, err := queryHosts[edgeapi.ConfigReply](ctx, c, edgeapi.MethodConfig, c.edgeQuery())
	if err != nil {
		return err
	}
	table := Table{Header: []string{"ANSWERING", "CONFIG", "AGE", "ROUTE", "ADDRESS", "POOLS", "IDEMPOTENT", "PRIORITY", "TARGETS"}}
	for _, reply := range replies {
		for _, route := range reply.Routes {
			table.addRow(reply.Host, reply.Version, reply.Age.Round(ageResolution), route.Name, route.Address,
				poolsText(route.Pools), route.Idempotent, route.Priority, route.Targets)
		}
	}
	return render(c.out, c.options.Output, replies, table)
}

// poolsText returns the names of a route's pools, with their weights if there
// are several.
func poolsText(pools []catalog.PoolWeight) string {
	if len(pools) == 1 {
		return string(pools[0].Pool)
	}
	parts := make([]string, 0, len(pools))
	for _, pool := range pools {
		parts = append(parts, fmt.Sprintf("%s:%d", pool.Pool, pool.Weight))
	}
	return strings.Join(parts, ",")
}

func (c *Command) edgeTargets(ctx context.Context) error {
	replies, err := queryHosts[edgeapi.TargetsReply](ctx, c, edgeapi.MethodTargets, c.edgeQuery())
	if err != nil {
		return err
	}
	table := Table{Header: []string{"ANSWERING", "AGE", "POOL", "TARGET", "DOMAIN", "ADDRESS", "STATE", "BELIEF", "MISSED", "SILENCE", "OPEN", "WAITING", "QUEUE"}}
	for _, reply := range replies {
		for _, row := range reply.Targets {
			table.addRow(reply.Host, reply.Age.Round(ageResolution), row.Pool, row.Name, row.Domain, row.Address,
				row.State, row.Belief, row.Missed, row.Silence.Round(ageResolution), row.Open, row.Waiting, strconv.FormatFloat(row.Queue, 'f', 1, 64))
		}
	}
	return render(c.out, c.options.Output, replies, table)
}

func (c *Command) edgeHosts(ctx context.Context) error {
	replies, err := queryHosts[edgeapi.HostReply](ctx, c, edgeapi.MethodHost, c.edgeQuery())
	if err != nil {
		return err
	}
	if c.options.All {
		replies = c.addAskingHosts(ctx, replies)
	}
	table := Table{Header: []string{"HOST", "DOMAIN", "BUILD", "UPTIME", "READY", "LEAVING", "CONFIG", "CONFIG-AGE", "TARGETS-AGE", "DRAINED", "READS-FROM", "ASKED-BY", "FLOWS"}}
	for _, host := range replies {
		table.addRow(host.Host, host.Domain, host.Build, host.Uptime.Round(time.Second), host.Ready, host.Leaving,
			host.Config, host.ConfigAge.Round(ageResolution), host.TargetsAge.Round(ageResolution), drainsText(host), sourceText(host), len(host.AskedBy), host.Flows)
	}
	return render(c.out, c.options.Output, replies, table)
}

// drainsText returns the failure domains that a host takes for drained, with the age of
// that knowledge.
func drainsText(host edgeapi.HostReply) string {
	if !host.ReadsDrains {
		return "not read"
	}
	domains := make([]string, 0, len(host.DrainedDomains))
	for _, domain := range host.DrainedDomains {
		domains = append(domains, string(domain))
	}
	if len(domains) == 0 {
		domains = append(domains, "none")
	}
	return fmt.Sprintf("%s (%s)", strings.Join(domains, ","), host.DrainsAge.Round(ageResolution))
}

// sourceText returns what a host reads its configuration and targets from:
// another host or the store.
func sourceText(host edgeapi.HostReply) string {
	switch {
	case host.Asks.IsValid():
		return host.Asks.String()
	case host.StoreAway:
		return "store (away)"
	}
	return "store"
}

// addAskingHosts adds the replies of the hosts that read from those in replies,
// and of the hosts that read from them, and so on. If replies are those of the
// seeds, this finds every host that reads from another host.
func (c *Command) addAskingHosts(ctx context.Context, replies []edgeapi.HostReply) []edgeapi.HostReply {
	known := slices.Clone(c.options.Hosts)
	for i := 0; i < len(replies); i++ {
		for _, address := range replies[i].AskedBy {
			if slices.Contains(known, address.String()) {
				continue
			}
			known = append(known, address.String())
			if reply, ok := c.queryEdgeHost(ctx, address); ok {
				replies = append(replies, reply)
			}
		}
	}
	return replies
}

func (c *Command) queryEdgeHost(ctx context.Context, address netip.AddrPort) (edgeapi.HostReply, bool) {
	var reply edgeapi.HostReply
	if err := c.call(ctx, address.String(), edgeapi.MethodHost, c.edgeQuery(), &reply); err != nil {
		fmt.Fprintf(c.errOut, "guavactl: %s: %v\n", address, err)
		return edgeapi.HostReply{}, false
	}
	return reply, true
}
