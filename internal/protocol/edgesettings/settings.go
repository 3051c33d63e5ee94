// Package edgesettings parses guavaedge's TOML settings file. The whole file is
// validated before guavaedge opens any socket.
package edgesettings

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/tomldoc"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Settings are the validated settings of one guavaedge process.
type Settings struct {
	// HostID and Domain name this entry host and its failure domain.
	HostID state.HostID
	Domain state.DomainID
	// Packets is the UDP address that receives clients' packets. Packets to
	// clients are sent to the same port number at the client's address.
	Packets netip.AddrPort
	// Ready is the address that answers the fabric's readiness checks over HTTP:
	// whether the host accepts traffic.
	Ready netip.AddrPort
	// Metrics is the address that serves the counters as text over HTTP.
	Metrics netip.AddrPort
	// Control is the TCP address where other hosts query what this host has read
	// from the store.
	Control netip.AddrPort
	// Seeds are the control addresses of hosts to query before reading the
	// store; some may be unreachable.
	Seeds []netip.AddrPort
	// StoreAddress is the address of the platform's object store.
	StoreAddress netip.AddrPort
	// ChangeBound is the time within which a new configuration must take effect.
	// DrainBound is the time within which a leaving target must stop getting new
	// flows.
	ChangeBound time.Duration
	DrainBound  time.Duration
	// DomainDrainBound is the time within which a failure domain that the operator drains
	// must stop getting new flows. 0 if drains of failure domains are not read.
	DomainDrainBound time.Duration
	// LeaveDeadline is the longest time that a graceful shutdown may take.
	LeaveDeadline time.Duration
	// MaxFlowAge is the age that the oldest open flow may reach; a target that
	// has left is remembered for at least this long.
	MaxFlowAge time.Duration
	// SlowStartOverage and SlowStartSlack bound what all hosts together send to a target in
	// its slow start in any second: its limit times the one plus the other. 0 if slow starts
	// are not shared out.
	SlowStartOverage float64
	SlowStartSlack   float64
	// EstimateFrom is the number of targets of a pool from which new flows are placed by
	// estimates of the targets' queues, 0 for never.
	EstimateFrom int
	// LogLevel is the lowest level that is logged. LogRate is the largest number
	// of lines per second with the same message.
	LogLevel slog.Level
	LogRate  int
}

// Parse parses and validates a settings file. The settings are valid only if
// there are no issues; all issues of the file are returned.
func Parse(data []byte) (Settings, tomldoc.Issues) {
	return tomldoc.Read(data, readSettings)
}

func readSettings(root *tomldoc.Table) Settings {
	host := root.Subtable("host")
	bounds := root.Subtable("bounds")
	slowStart := root.Subtable("slow_start")
	log := root.Subtable("log")
	var level slog.Level
	// UnmarshalText accepts every text in logLevels, so it returns no error.
	_ = level.UnmarshalText([]byte(log.OneOf("level", DefaultLogLevel, logLevels...)))
	return Settings{
		HostID:           state.HostID(host.Name("id")),
		Domain:           state.DomainID(host.Name("domain")),
		Packets:          host.AddrPort("packets"),
		Ready:            host.AddrPort("ready"),
		Metrics:          host.AddrPort("metrics"),
		Control:          host.AddrPort("control"),
		Seeds:            root.Subtable("peers").AddrPorts("seeds"),
		StoreAddress:     root.Subtable("store").AddrPort("address"),
		ChangeBound:      bounds.Duration("change", DefaultChangeBound, minChangeBound, maxChangeBound),
		DrainBound:       bounds.Duration("drain", DefaultDrainBound, minChangeBound, maxChangeBound),
		DomainDrainBound: bounds.Duration("domain_drain", 0, minChangeBound, maxChangeBound),
		LeaveDeadline:    bounds.Duration("leave", DefaultLeaveDeadline, minLeaveDeadline, maxLeaveDeadline),
		MaxFlowAge:       bounds.Duration("max_flow_age", DefaultMaxFlowAge, minMaxFlowAge, maxMaxFlowAge),
		SlowStartOverage: slowStart.Float("overage", 0, 0, maxSlowStart),
		SlowStartSlack:   slowStart.Float("slack", 0, 0, maxSlowStart),
		EstimateFrom:     int(root.Subtable("balance").Integer("estimate_from", DefaultEstimateFrom, minEstimateFrom, maxEstimateFrom)),
		LogLevel:         level,
		LogRate:          int(log.Integer("lines_per_second", DefaultLogRate, minLogRate, maxLogRate)),
	}
}
