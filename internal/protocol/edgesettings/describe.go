package edgesettings

import (
	"strconv"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/tomldoc"
)

// Default values of optional keys.
const (
	DefaultChangeBound   = 3 * time.Second
	DefaultDrainBound    = 3 * time.Second
	DefaultLeaveDeadline = 5 * time.Second
	DefaultMaxFlowAge    = time.Minute
	DefaultEstimateFrom  = 1
	DefaultLogLevel      = "info"
	DefaultLogRate       = 40
)

// Allowed ranges, both ends included.
const (
	minChangeBound   = 100 * time.Millisecond
	maxChangeBound   = time.Minute
	minLeaveDeadline = 100 * time.Millisecond
	maxLeaveDeadline = 10 * time.Minute
	minMaxFlowAge    = time.Second
	maxMaxFlowAge    = 24 * time.Hour
	minEstimateFrom  = 0
	maxEstimateFrom  = 1_000_000
	maxSlowStart     = 1000
	minLogRate       = 1
	maxLogRate       = 10_000
)

// logLevels are the allowed levels, lowest first.
var logLevels = []string{"debug", "info", "warn", "error"}

// Types and ranges as the documentation shows them.
const (
	formName     = "name"
	formAddress  = "IP:port"
	formDuration = "duration"
	formNumber   = "number"

	rangeSlowStart = "0 to 1000"

	rangeAddress = "a numeric IP address with a port from 1 to 65535"
)

// Describe returns every key in the order of the documentation.
func Describe() []tomldoc.Key {
	return []tomldoc.Key{
		{Name: "host.id", Form: formName, Range: tomldoc.NameRange, Meaning: "Unique name of this host."},
		{Name: "host.domain", Form: formName, Range: tomldoc.NameRange, Meaning: "Failure domain of this host."},
		{Name: "host.packets", Form: formAddress, Range: rangeAddress, Meaning: "Where clients' packets arrive (UDP). Packets to clients go to the same port number at their address."},
		{Name: "host.ready", Form: formAddress, Range: rangeAddress, Meaning: "Where this host answers the fabric's readiness checks over HTTP: whether it accepts traffic."},
		{Name: "host.metrics", Form: formAddress, Range: rangeAddress, Meaning: "Where the counters are served over HTTP, at `/metrics`."},
		{Name: "host.control", Form: formAddress, Range: rangeAddress, Meaning: "Where other hosts query what this host has read from the store (TCP)."},
		{Name: "peers.seeds", Form: "array of IP:port", Default: "none", Range: "each " + rangeAddress, Meaning: "Control addresses of hosts to query before reading the store; some may be unreachable. Without seeds, a host reads the store itself."},
		{Name: "store.address", Form: formAddress, Range: rangeAddress, Meaning: "The platform's object store."},
		{Name: "bounds.change", Form: formDuration, Default: DefaultChangeBound.String(), Range: tomldoc.InclusiveRange(minChangeBound, maxChangeBound), Meaning: "Time within which a new configuration has to take effect; the poll interval of the configuration is 0.65 of it."},
		{Name: "bounds.drain", Form: formDuration, Default: DefaultDrainBound.String(), Range: tomldoc.InclusiveRange(minChangeBound, maxChangeBound), Meaning: "Time within which a leaving target gets no new flow; the poll interval of the targets is 0.65 of it."},
		{Name: "bounds.domain_drain", Form: formDuration, Default: "off", Range: tomldoc.InclusiveRange(minChangeBound, maxChangeBound), Meaning: "Time within which the targets of a drained failure domain get no new flow. Without it, drains of failure domains are not read."},
		{Name: "bounds.leave", Form: formDuration, Default: DefaultLeaveDeadline.String(), Range: tomldoc.InclusiveRange(minLeaveDeadline, maxLeaveDeadline), Meaning: "Longest time that a graceful shutdown may take."},
		{Name: "bounds.max_flow_age", Form: formDuration, Default: DefaultMaxFlowAge.String(), Range: tomldoc.InclusiveRange(minMaxFlowAge, maxMaxFlowAge), Meaning: "Age that the oldest open flow may reach; a target that has left is remembered for at least this long."},
		{Name: "slow_start.overage", Form: formNumber, Default: "0", Range: rangeSlowStart, Meaning: "Factor of a target's limit in its slow start that all hosts together may send it in any second. 0 keeps new flows away from such targets while another can take them."},
		{Name: "slow_start.slack", Form: formNumber, Default: "0", Range: rangeSlowStart, Meaning: "Requests beyond that; 2 are needed at least."},
		{Name: "balance.estimate_from", Form: "number of targets", Default: strconv.Itoa(DefaultEstimateFrom), Range: tomldoc.InclusiveRange(minEstimateFrom, maxEstimateFrom), Meaning: "Number of targets of a pool from which new flows are placed by estimates of the targets' queues, and limited by rejections in an overload. 0 is never."},
		{Name: "log.level", Form: "choice", Default: DefaultLogLevel, Range: "debug, info, warn or error", Meaning: "Lowest level that is logged. Takes effect at SIGHUP."},
		{Name: "log.lines_per_second", Form: "count per second", Default: strconv.Itoa(DefaultLogRate), Range: tomldoc.InclusiveRange(minLogRate, maxLogRate), Meaning: "Largest number of lines per second with the same message; further lines are dropped and their number is logged."},
	}
}
