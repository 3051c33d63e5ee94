package ctl

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Command runs one verb.
type Command struct {
	options Options
	store   *Store
	caller  Caller
	out     io.Writer
	errors  io.Writer
	now     func() time.Time
}

// Caller makes one read call to an entry host.
type Caller func(ctx context.Context, address, method string, query, reply any) error

// NewCommand returns a command that writes results to out and complaints to
// errors. now is the clock that stamps notes.
func NewCommand(options Options, platform Platform, caller Caller, out, errors io.Writer, now func() time.Time) *Command {
	return &Command{
		options: options,
		store:   NewStore(platform),
		caller:  caller,
		out:     out,
		errors:  errors,
		now:     now,
	}
}

// Run carries the verb out and returns the exit code.
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
		return c.bounded(ctx, c.status)
	case VerbHistory:
		return c.bounded(ctx, c.history)
	case VerbHosts:
		return c.bounded(ctx, c.hosts)
	case VerbTargets:
		return c.bounded(ctx, c.targets)
	case VerbFlows:
		return c.bounded(ctx, c.flows)
	case VerbCounters:
		return c.bounded(ctx, c.counters)
	case VerbEdgeHosts:
		return c.bounded(ctx, c.edgeHosts)
	case VerbEdgeConfig:
		return c.bounded(ctx, c.edgeConfig)
	case VerbEdgeTargets:
		return c.bounded(ctx, c.edgeTargets)
	default:
		return c.usage("a verb is missing; see guavactl --help")
	}
}

func (c *Command) checkOptions() int {
	switch {
	case c.options.Output != OutputTable && c.options.Output != OutputJSON:
		return c.usage("--output: allowed: table, json")
	case c.options.Verb.needsPlatform() && c.options.PlatformURL == "":
		return c.usage("--platform: the platform's URL is missing")
	case c.options.Verb != "" && !c.options.Verb.needsPlatform() && len(c.options.Hosts) == 0:
		return c.usage("--host: the control address of an entry host is missing")
	default:
		return ExitInForce
	}
}

func (c *Command) usage(message string) int {
	fmt.Fprintln(c.errors, "guavactl: "+message)
	return ExitUsage
}

// bounded runs a read under the timeout.
func (c *Command) bounded(ctx context.Context, read func(context.Context) error) int {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	if err := read(ctx); err != nil {
		return c.unknown(err)
	}
	return ExitInForce
}

func (c *Command) unknown(err error) int {
	fmt.Fprintln(c.errors, "guavactl: "+err.Error())
	return ExitUnknown
}
