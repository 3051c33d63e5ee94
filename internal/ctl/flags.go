package ctl

import (
	"time"

	"github.com/integrii/flaggy"
)

const examples = `
Examples:
  guavactl check note.toml --platform http://192.0.2.10:8500
  guavactl apply note.toml --platform http://192.0.2.10:8500 --wait 30s
  guavactl status 2026-12-03-feed --platform http://192.0.2.10:8500
  guavactl hosts --host 192.0.2.21:6082 --host 192.0.2.22:6082
  guavactl counters --host 192.0.2.21:6082 --output json
  guavactl edge-hosts --host 10.1.0.10:8166 --all
  guavactl edge-targets --host 10.1.0.10:8166 --pool taller --output json

Exit codes of apply: 0 in force, 1 refused, 2 invalid usage or note, 3 outcome not yet known.`

// verbHelp describes a verb on the command line.
type verbHelp struct {
	verb        Verb
	description string
	// argument is the name of the positional argument, empty if there is none.
	argument string
	required bool
}

var verbs = []verbHelp{
	{VerbApply, "Submit a release note and wait for its outcome.", "NOTE.toml", true},
	{VerbCheck, "Validate a release note against the newest release without submitting it.", "NOTE.toml", true},
	{VerbStatus, "Show the status of a note in each failure domain; without an id, of every note that is kept.", "NOTE-ID", false},
	{VerbHistory, "List the pending note and the decided notes, newest first.", "", false},
	{VerbHosts, "List the entry hosts that a host knows, and whether it is ready.", "", false},
	{VerbTargets, "List the targets and their state on a host.", "", false},
	{VerbFlows, "Count the flows that a host owns, by service.", "", false},
	{VerbCounters, "List a host's counters.", "", false},
	{VerbEdgeHosts, "List hosts that run guavaedge, with their version, configuration and the source that they read from.", "", false},
	{VerbEdgeConfig, "List the routes in force on a host that runs guavaedge.", "", false},
	{VerbEdgeTargets, "List the targets with their state as a host that runs guavaedge assesses it.", "", false},
}

// ParseFlags parses the command line. As is usual with flaggy, help, version and
// unknown flags end the process.
func ParseFlags(version string, args []string) (Options, error) {
	options := Options{Output: OutputTable, Wait: DefaultWait, Timeout: DefaultTimeout}
	parser := flaggy.NewParser("guavactl")
	parser.Description = "guavactl submits release notes to guavawharf and shows its state."
	parser.Version = version
	parser.AdditionalHelpAppend = examples
	arguments := make([]string, len(verbs))
	commands := make([]*flaggy.Subcommand, len(verbs))
	for i, help := range verbs {
		commands[i] = newSubcommand(help, &options, &arguments[i])
		parser.AttachSubcommand(commands[i], 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return options, err
	}
	for i, command := range commands {
		if command.Used {
			options.Verb = verbs[i].verb
			options.setArgumentAndBounds(arguments[i])
		}
	}
	return options, nil
}

func newSubcommand(help verbHelp, options *Options, argument *string) *flaggy.Subcommand {
	command := flaggy.NewSubcommand(string(help.verb))
	command.Description = help.description
	if help.argument != "" {
		command.AddPositionalValue(argument, help.argument, 1, help.required, help.description)
	}
	if help.verb.needsPlatform() {
		command.String(&options.PlatformURL, "p", "platform", "URL of the platform's object API")
	} else {
		command.StringSlice(&options.Hosts, "c", "host", "control address of an entry host, as IP:port; may be repeated")
	}
	if help.verb == VerbTargets || help.verb == VerbFlows {
		command.String(&options.Service, "s", "service", "only this service")
	}
	if help.verb == VerbEdgeTargets {
		command.String(&options.Pool, "s", "pool", "only this pool")
	}
	if help.verb == VerbEdgeHosts {
		command.Bool(&options.All, "a", "all", "also list the hosts that read from the named hosts, and so on")
	}
	if help.verb == VerbApply {
		command.Duration(&options.Wait, "w", "wait", "how long to wait for the outcome")
	}
	command.String(&options.Output, "o", "output", "table or json")
	command.Duration(&options.Timeout, "t", "timeout", "timeout of one read")
	return command
}

// setArgumentAndBounds assigns the positional argument to the option of the
// verb, replaces a timeout that is not positive by the default and a negative
// wait by 0.
func (o *Options) setArgumentAndBounds(argument string) {
	switch o.Verb {
	case VerbApply, VerbCheck:
		o.NoteFile = argument
	case VerbStatus:
		o.NoteID = argument
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Wait < 0 {
		o.Wait = time.Duration(0)
	}
}
