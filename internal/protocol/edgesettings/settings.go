// Package edgesettings reads guavaedge's settings from TOML and checks them as
// a whole before anything opens.
package edgesettings

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/tomldoc"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Settings are the checked settings of one guavaedge process.
type Settings struct {
	// Host and Domain name this entry host and its failure domain.
	Host   state.HostID
	Domain state.DomainID
	// Packets takes clients' packets over UDP. Packets to clients go to the same
	// port number at the client's address.
	Packets netip.AddrPort
	// Ready answers over HTTP whether the host takes traffic.
	Ready netip.AddrPort
	// Metrics serves the counters as text over HTTP.
	Metrics netip.AddrPort
	// Control is where other hosts ask this one what it has read from the store.
	Control netip.AddrPort
	// Seeds are the control addresses of hosts to ask; some may be gone.
	Seeds []netip.AddrPort
	// Store is the address of the platform's object store.
	Store netip.AddrPort
	// ChangeBound is the time within which a new configuration has to take
	// effect, DrainBound that within which a leaving target gets no new flow.
	ChangeBound time.Duration
	DrainBound  time.Duration
	// LeaveDeadline bounds a graceful shutdown.
	LeaveDeadline time.Duration
	// MaxFlowAge is the age of the oldest open flow.
	MaxFlowAge time.Duration
	// LogLevel is the lowest level that is logged; LogRate the lines a second.
	LogLevel slog.Level
	LogRate  int
}

// Parse reads and checks a settings file. Settings are valid only if there are
// no issues; otherwise every issue of the file is returned.
func Parse(data []byte) (Settings, tomldoc.Issues) {
	return tomldoc.Read(data, readSettings)
}

func readSettings(root *tomldoc.Table) Settings {
	host := root.Subtable("host")
	bounds := root.Subtable("bounds")
	log := root.Subtable("log")
	var level slog.Level
	// Every allowed text is a level.
	_ = level.UnmarshalText([]byte(log.OneOf("level", DefaultLogLevel, logLevels...)))
	return Settings{
		Host:          state.HostID(host.Name("id")),
		Domain:        state.DomainID(host.Name("domain")),
		Packets:       host.AddrPort("packets"),
		Ready:         host.AddrPort("ready"),
		Metrics:       host.AddrPort("metrics"),
		Control:       host.AddrPort("control"),
		Seeds:         root.Subtable("peers").AddrPorts("seeds"),
		Store:         root.Subtable("store").AddrPort("address"),
		ChangeBound:   bounds.Duration("change", DefaultChangeBound, minChangeBound, maxChangeBound),
		DrainBound:    bounds.Duration("drain", DefaultDrainBound, minChangeBound, maxChangeBound),
		LeaveDeadline: bounds.Duration("leave", DefaultLeaveDeadline, minLeaveDeadline, maxLeaveDeadline),
		MaxFlowAge:    bounds.Duration("max_flow_age", DefaultMaxFlowAge, minMaxFlowAge, maxMaxFlowAge),
		LogLevel:      level,
		LogRate:       int(log.Integer("lines_per_second", DefaultLogRate, minLogRate, maxLogRate)),
	}
}
