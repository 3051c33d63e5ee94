package ctl

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Command runs one verb of guavactl.
type Command struct {
	options Options
	store   *Store
	call    CallFunc
	out     io.Writer
	errOut  io.Writer
	now     func() time.Time
}

// CallFunc calls one method of an entry host and decodes the answer into reply.
type CallFunc func(ctx context.Context, address, method string, query, reply any) error

// NewCommand returns a command that writes results to out and errors to errOut.
// now returns the time at which a note is submitted.
func NewCommand(options Options, platform Platform, call CallFunc, out, errOut io.Writer, now func() time.Time) *Command {
	return &Command{
		options: options,
		store:   NewStore(platform),
		call:    call,
		out:     out,
		errOut:  errOut,
		now:     now,
	}
}

// Run executes the verb and returns the exit code.
func (c *Command) Run(ctx context.Context) int {
	if code := c.checkOptions(); code != ExitInForce {
		return code
	}
	switch c.options.Verb {
	case VerbApply:
		return c.apply(ctx)
	case VerbCheck:
		return c.check(ctx)
	case VerbStatus:
		return c.runRead(ctx, c.status)
	case VerbHistory:
		return c.runRead(ctx, c.history)
	case VerbHosts:
		return c.runRead(ctx, c.hosts)
	case VerbTargets:
		return c.runRead(ctx, c.targets)
	case VerbFlows:
		return c.runRead(ctx, c.flows)
	case VerbCounters:
		return c.runRead(ctx, c.counters)
	case VerbEdgeHosts:
		return c.runRead(ctx, c.edgeHosts)
	case VerbEdgeConfig:
		return c.runRead(ctx, c.edgeConfig)
	case VerbEdgeTargets:
		return c.runRead(ctx, c.edgeTargets)
	default:
		return c.failUsage("a verb is missing; see guavactl --help")
	}
}

func (c *Command) checkOptions() int {
	switch {
	case c.options.Output != OutputTable && c.options.Output != OutputJSON:
		return c.failUsage("--output: allowed: table, json")
	case c.options.Verb.needsPlatform() && c.options.PlatformURL == "":
		return c.failUsage("--platform: the platform's URL is missing")
	case c.options.Verb != "" && !c.options.Verb.needsPlatform() && len(c.options.Hosts) == 0:
		return c.failUsage("--host: the control address of an entry host is missing")
	default:
		return ExitInForce
	}
}

func (c *Command) failUsage(message string) int {
	fmt.Fprintln(c.errOut, "guavactl: "+message)
	return ExitUsage
}

// runRead runs a read with the timeout of the options and returns the exit code.
func (c *Command) runRead(ctx context.Context, read func(context.Context) error) int {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	if err := read(ctx); err != nil {
		return c.failUnknown(err)
	}
	return ExitInForce
}

func (c *Command) failUnknown(err error) int {
	fmt.Fprintln(c.errOut, "guavactl: "+err.Error())
	return ExitUnknown
}
