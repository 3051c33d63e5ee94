package ctl

import "time"

// Exit codes of guavactl, named after the outcomes of apply. For other verbs,
// ExitInForce means success, ExitRefused an invalid note (check), and
// ExitUnknown a failed read.
const (
	ExitInForce = 0
	ExitRefused = 1
	ExitUsage   = 2
	ExitUnknown = 3
)

// Output formats.
const (
	OutputTable = "table"
	OutputJSON  = "json"
)

// Default values of the options.
const (
	DefaultWait    = 30 * time.Second
	DefaultTimeout = 5 * time.Second
)

// Verb is a subcommand of guavactl.
type Verb string

// Verbs of guavactl.
const (
	VerbApply    Verb = "apply"
	VerbCheck    Verb = "check"
	VerbStatus   Verb = "status"
	VerbHosts    Verb = "hosts"
	VerbTargets  Verb = "targets"
	VerbFlows    Verb = "flows"
	VerbCounters Verb = "counters"
	VerbHistory  Verb = "history"

	// Verbs that query hosts that run guavaedge.
	VerbEdgeHosts   Verb = "edge-hosts"
	VerbEdgeConfig  Verb = "edge-config"
	VerbEdgeTargets Verb = "edge-targets"
)

// Options are the parsed command line.
type Options struct {
	Verb Verb
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string
	// Hosts are control addresses of entry hosts.
	Hosts []string
	// Output is OutputTable or OutputJSON.
	Output string
	// Timeout limits each read.
	Timeout time.Duration
	// Wait is how long apply waits for the outcome.
	Wait time.Duration
	// NoteFile is the path of the release note for apply and check.
	NoteFile string
	// NoteID is the note whose status is shown; empty for all notes.
	NoteID string
	// Service limits targets and flows to one service; empty for all.
	Service string
	// Pool limits edge-targets to one pool; empty for all.
	Pool string
	// All makes edge-hosts also list the hosts that read from the named hosts,
	// directly or through others.
	All bool
}

// needsPlatform reports whether the verb reads or writes the platform.
func (v Verb) needsPlatform() bool {
	switch v {
	case VerbApply, VerbCheck, VerbStatus, VerbHistory:
		return true
	default:
		return false
	}
}
