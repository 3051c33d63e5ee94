package settings

import (
	"fmt"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/tomldoc"
)

// Default values of optional keys.
const (
	DefaultPlatformTimeout = 2 * time.Second
	DefaultWorkers         = 4
	DefaultMaxFlows        = 500_000
	DefaultMaxNewFlows     = 20_000
	DefaultLeaveDeadline   = 30 * time.Second
	DefaultLogLevel        = "info"
)

// Allowed ranges, both ends included.
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

// Types, units and ranges as the documentation shows them.
const (
	formName     = "name"
	formAddress  = "IP:port"
	formDuration = "duration"
	formCount    = "count"

	formPerSecond = "count per second"

	rangeName    = tomldoc.NameRange
	rangeAddress = "a numeric IP address that is not unspecified, with a port from 1 to 65535"
)

// Describe returns every key in the order of the documentation.
func Describe() []tomldoc.Key {
	keys := hostKeys("host", "this host")
	keys = append(keys,
		tomldoc.Key{Name: "host.metrics", Form: formAddress, Range: rangeAddress, Meaning: "Where the expvar page is served over HTTP, at `/debug/vars`."},
		tomldoc.Key{Name: "fabric.return", Form: formAddress, Range: rangeAddress, Meaning: "Where packets to callers are sent, as IP packets encapsulated in UDP."},
		tomldoc.Key{Name: "platform.url", Form: "URL", Range: "http or https with a host", Meaning: "Base URL of the platform's object API."},
		tomldoc.Key{Name: "platform.timeout", Form: formDuration, Default: DefaultPlatformTimeout.String(), Range: tomldoc.InclusiveRange(minPlatformTimeout, maxPlatformTimeout), Meaning: "Timeout of each call to the platform except watches."},
	)
	keys = append(keys, hostKeys("membership.seeds[]", "a host to join through")...)
	return append(keys,
		tomldoc.Key{Name: "traffic.workers", Form: formCount, Default: fmt.Sprint(DefaultWorkers), Range: tomldoc.InclusiveRange(minWorkers, maxWorkers), Meaning: "Number of shards of the packet path; each runs on one worker at a time."},
		tomldoc.Key{Name: "traffic.max_flows", Form: formCount, Default: fmt.Sprint(DefaultMaxFlows), Range: tomldoc.InclusiveRange(minMaxFlows, maxMaxFlows), Meaning: "Largest number of flow records on this host; new flows above it are refused."},
		tomldoc.Key{Name: "traffic.max_new_flows", Form: formPerSecond, Default: fmt.Sprint(DefaultMaxNewFlows), Range: tomldoc.InclusiveRange(minMaxNewFlows, maxMaxNewFlows), Meaning: "Largest number of new flows per second that this host places, shared among customers; new flows above it are refused."},
		tomldoc.Key{Name: "leave.deadline", Form: formDuration, Default: DefaultLeaveDeadline.String(), Range: tomldoc.InclusiveRange(minLeaveDeadline, maxLeaveDeadline), Meaning: "Longest time that a graceful shutdown may take."},
		tomldoc.Key{Name: "log.level", Form: "level", Default: DefaultLogLevel, Range: "debug, info, warn or error", Meaning: "Lowest level that is logged."},
	)
}

func hostKeys(prefix, host string) []tomldoc.Key {
	return []tomldoc.Key{
		{Name: prefix + ".id", Form: formName, Range: rangeName, Meaning: "Unique name of " + host + "."},
		{Name: prefix + ".domain", Form: formName, Range: rangeName, Meaning: "Failure domain of " + host + "."},
		{Name: prefix + ".packets", Form: formAddress, Range: rangeAddress, Meaning: "Where " + host + " receives callers' packets (UDP)."},
		{Name: prefix + ".relay", Form: formAddress, Range: rangeAddress, Meaning: "Where " + host + " receives packets and records from other entry hosts (UDP)."},
		{Name: prefix + ".control", Form: formAddress, Range: rangeAddress, Meaning: "Where " + host + " serves control and operators (TCP)."},
	}
}
