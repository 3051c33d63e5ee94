package settings

import (
	"fmt"
	"time"
)

// Defaults.
const (
	DefaultPlatformTimeout = 2 * time.Second
	DefaultWorkers         = 4
	DefaultMaxFlows        = 500_000
	DefaultMaxNewFlows     = 20_000
	DefaultLeaveDeadline   = 30 * time.Second
	DefaultLogLevel        = "info"
)

// Ranges, both ends included.
const (
	minPlatformTimeout = 100 * time.Millisecond
	maxPlatformTimeout = 30 * time.Second
	minWorkers         = 1
	maxWorkers         = 256
	minMaxFlows        = 1_000
	maxMaxFlows        = 10_000_000
	minMaxNewFlows     = 100
	maxMaxNewFlows     = 1_000_000
	minLeaveDeadline   = time.Second
	maxLeaveDeadline   = 10 * time.Minute
)

// logLevels are the allowed levels, lowest first.
var logLevels = []string{"debug", "info", "warn", "error"}

// Key describes one key of the settings.
type Key struct {
	// Name is the dotted key; [] marks an array of tables.
	Name string
	// Unit is the unit or form of the value.
	Unit string
	// Default is empty for required keys.
	Default string
	// Range is what is allowed.
	Range string
	// Meaning is one sentence.
	Meaning string
}

// Forms of values.
const (
	formName     = "name"
	formAddress  = "IP:port"
	formDuration = "duration"
	formCount    = "count"

	formPerSecond = "count a second"

	rangeName    = "1 to 63 letters, digits, `-`, `_` or `.`"
	rangeAddress = "a numeric IP address that is not unspecified, with a port from 1 to 65535"
)

// Describe returns every key in the order of the documentation.
func Describe() []Key {
	keys := hostKeys("host", "this host")
	keys = append(keys,
		Key{"host.metrics", formAddress, "", rangeAddress, "Where the expvar page is served over HTTP, at `/debug/vars`."},
		Key{"fabric.return", formAddress, "", rangeAddress, "Where packets to callers are sent, as IP inside UDP."},
		Key{"platform.url", "URL", "", "http or https with a host", "Base URL of the platform's object API."},
		Key{"platform.timeout", formDuration, DefaultPlatformTimeout.String(), span(minPlatformTimeout, maxPlatformTimeout), "Timeout of one call to the platform, watches excepted."},
	)
	keys = append(keys, hostKeys("membership.seeds[]", "a host to join through")...)
	return append(keys,
		Key{"traffic.workers", formCount, fmt.Sprint(DefaultWorkers), span(minWorkers, maxWorkers), "Number of shards of the packet path; each runs on one worker at a time."},
		Key{"traffic.max_flows", formCount, fmt.Sprint(DefaultMaxFlows), span(minMaxFlows, maxMaxFlows), "Largest number of flow records on this host; new flows above it are refused."},
		Key{"traffic.max_new_flows", formPerSecond, fmt.Sprint(DefaultMaxNewFlows), span(minMaxNewFlows, maxMaxNewFlows), "Most new flows a second that this host places, shared among customers; others are refused."},
		Key{"leave.deadline", formDuration, DefaultLeaveDeadline.String(), span(minLeaveDeadline, maxLeaveDeadline), "Longest time that a graceful shutdown may take."},
		Key{"log.level", "level", DefaultLogLevel, "debug, info, warn or error", "Lowest level that is logged."},
	)
}

func hostKeys(prefix, host string) []Key {
	return []Key{
		{prefix + ".id", formName, "", rangeName, "Unique name of " + host + "."},
		{prefix + ".domain", formName, "", rangeName, "Failure domain of " + host + "."},
		{prefix + ".packets", formAddress, "", rangeAddress, "Where " + host + " receives callers' packets (UDP)."},
		{prefix + ".relay", formAddress, "", rangeAddress, "Where " + host + " receives packets and records from other entry hosts (UDP)."},
		{prefix + ".control", formAddress, "", rangeAddress, "Where " + host + " serves control and operators (TCP)."},
	}
}

func span[T any](low, high T) string {
	return fmt.Sprintf("%v to %v", low, high)
}
