package ctl

import "time"

// Exit codes of guavactl.
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

// Defaults of the options.
const (
	DefaultWait    = 30 * time.Second
	DefaultTimeout = 5 * time.Second
)

// Verb is a verb of guavactl.
type Verb string

// Verbs.
const (
	VerbApply    Verb = "apply"
	VerbCheck    Verb = "check"
	VerbStatus   Verb = "status"
	VerbHosts    Verb = "hosts"
	VerbTargets  Verb = "targets"
	VerbFlows    Verb = "flows"
	VerbCounters Verb = "counters"
	VerbHistory  Verb = "history"

	// These ask hosts that run guavaedge.
	VerbEdgeHosts   Verb = "edge-hosts"
	VerbEdgeConfig  Verb = "edge-config"
	VerbEdgeTargets Verb = "edge-targets"
)

// Options are the parsed command line.
type Options struct {
	Verb Verb
	// PlatformURL is the base URL of the platform.
	PlatformURL string
	// Hosts are control addresses of entry hosts.
	Hosts []string
	// Output is OutputTable or OutputJSON.
	Output string
	// Timeout bounds each read.
	Timeout time.Duration
	// Wait is how long apply waits for the outcome.
	Wait time.Duration
	// NoteFile is the release note of apply and check.
	NoteFile string
	// NoteID is the note id of status; empty for all.
	NoteID string
	// Service filters targets and flows; empty for all.
	Service string
	// Pool filters the targets of edge-targets; empty for all.
	Pool string
	// All has edge-hosts ask the hosts, too, that ask those named.
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
