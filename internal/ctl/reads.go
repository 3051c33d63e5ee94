package ctl

import (
	"context"
	"errors"
	"fmt"

	"github.com/guavawharf/guavawharf/internal/protocol/rpcapi"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/samber/oops"
)

// CodeHostUnreachable is the error code of a read that no entry host answered.
const CodeHostUnreachable = "host_unreachable"

// queryHosts calls the method on each host and returns the replies. Calls that
// fail are printed to the error output; if all fail, an error is returned.
func queryHosts[Reply any](ctx context.Context, c *Command, method string, query any) ([]Reply, error) {
	var replies []Reply
	var failures []error
	for _, address := range c.options.Hosts {
		var reply Reply
		if err := c.call(ctx, address, method, query, &reply); err != nil {
			fmt.Fprintf(c.errOut, "guavactl: %s: %v\n", address, err)
			failures = append(failures, err)
			continue
		}
		replies = append(replies, reply)
	}
	if len(replies) == 0 {
		return nil, oops.Code(CodeHostUnreachable).Wrapf(errors.Join(failures...), "no entry host answered")
	}
	return replies, nil
}

// guavadQuery returns the query for hosts that run guavad.
func (c *Command) guavadQuery() rpcapi.Query {
	return rpcapi.Query{Version: rpcapi.Version, Service: state.ServiceID(c.options.Service)}
}

func (c *Command) hosts(ctx context.Context) error {
	replies, err := queryHosts[rpcapi.HostsReply](ctx, c, rpcapi.MethodHosts, c.guavadQuery())
	if err != nil {
		return err
	}
	table := Table{Header: []string{"ANSWERING", "READY", "AWAITED", "HOST", "DOMAIN", "STATUS", "INCARNATION", "RELEASE", "PACKETS", "CONTROL"}}
	for _, reply := range replies {
		for _, row := range reply.Rows {
			table.addRow(reply.Answering, reply.Ready, reply.Awaited, row.Host.ID, row.Host.Domain,
				row.Status, row.Incarnation, row.Version, row.Host.Packets, row.Host.Control)
		}
	}
	return render(c.out, c.options.Output, replies, table)
}

func (c *Command) targets(ctx context.Context) error {
	replies, err := queryHosts[rpcapi.TargetsReply](ctx, c, rpcapi.MethodTargets, c.guavadQuery())
	if err != nil {
		return err
	}
	table := Table{Header: []string{"ANSWERING", "SERVICE", "TARGET", "DOMAIN", "ADDRESS", "LEAVING", "WITHDRAWN", "EJECTED", "SHARE", "OPEN", "OPENINGS"}}
	for _, reply := range replies {
		for _, row := range reply.Rows {
			table.addRow(reply.Answering, row.Service, row.Target, row.Domain, row.Address,
				row.Leaving, row.Withdrawn, row.Ejected, row.ShareMilli, row.OpenFlows, row.Openings)
		}
	}
	return render(c.out, c.options.Output, replies, table)
}

func (c *Command) flows(ctx context.Context) error {
	replies, err := queryHosts[rpcapi.FlowsReply](ctx, c, rpcapi.MethodFlows, c.guavadQuery())
	if err != nil {
		return err
	}
	table := Table{Header: []string{"ANSWERING", "SERVICE", "CUSTOMER", "WAY", "OPEN", "OPENED", "REFUSED"}}
	for _, reply := range replies {
		for _, row := range reply.Rows {
			table.addRow(reply.Answering, row.Service, row.Customer, row.Way, row.Open, row.Opened, row.Refused)
		}
	}
	return render(c.out, c.options.Output, replies, table)
}

func (c *Command) counters(ctx context.Context) error {
	replies, err := queryHosts[rpcapi.CountersReply](ctx, c, rpcapi.MethodCounters, c.guavadQuery())
	if err != nil {
		return err
	}
	table := Table{Header: []string{"ANSWERING", "COUNTER", "VALUE"}}
	for _, reply := range replies {
		for _, row := range reply.Rows {
			table.addRow(reply.Answering, row.Name, row.Value)
		}
	}
	return render(c.out, c.options.Output, replies, table)
}
