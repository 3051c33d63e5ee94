package settings

import (
	"log/slog"
	"net/netip"
	"net/url"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/tomldoc"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Parse parses and validates a settings file. The settings are valid only if
// there are no issues; all issues of the file are returned.
func Parse(data []byte) (Settings, tomldoc.Issues) {
	return tomldoc.Read(data, readSettings)
}

func readSettings(root *tomldoc.Table) Settings {
	hosts := newHostReader()
	host := root.Subtable("host")
	self := hosts.readHost(host)
	hosts.ownID = self.ID
	return Settings{
		Host:          self,
		Metrics:       hosts.readTCPAddress(host, "metrics"),
		ReturnAddress: readAddress(root.Subtable("fabric"), "return"),
		Platform:      readPlatform(root.Subtable("platform")),
		Seeds:         hosts.readSeeds(root.Subtable("membership")),
		Traffic:       readTraffic(root.Subtable("traffic")),
		LeaveDeadline: readLeaveDeadline(root.Subtable("leave")),
		LogLevel:      readLogLevel(root.Subtable("log")),
	}
}

// readAddress reads a required IP:port. The unspecified IP address is not
// allowed, since nothing can be sent to it.
func readAddress(table *tomldoc.Table, key string) netip.AddrPort {
	value := table.AddrPort(key)
	if value.IsValid() && value.Addr().IsUnspecified() {
		table.Report(key, "is not allowed; allowed: "+rangeAddress)
	}
	return value
}

func readPlatform(table *tomldoc.Table) Platform {
	const allowed = "http or https URL with a host, such as http://192.0.2.1:8080"
	text := table.RequiredText("url", allowed)
	if text != "" && !validURL(text) {
		table.Report("url", "is not allowed; allowed: "+allowed)
	}
	timeout := table.Duration("timeout", DefaultPlatformTimeout, minPlatformTimeout, maxPlatformTimeout)
	return Platform{URL: text, Timeout: timeout}
}

func validURL(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Hostname() == "" {
		return false
	}
	return parsed.Scheme == "http" || parsed.Scheme == "https"
}

func readTraffic(table *tomldoc.Table) Traffic {
	return Traffic{
		Workers:     int(table.Integer("workers", DefaultWorkers, minWorkers, maxWorkers)),
		MaxFlows:    int(table.Integer("max_flows", DefaultMaxFlows, minMaxFlows, maxMaxFlows)),
		MaxNewFlows: int(table.Integer("max_new_flows", DefaultMaxNewFlows, minMaxNewFlows, maxMaxNewFlows)),
	}
}

func readLeaveDeadline(table *tomldoc.Table) time.Duration {
	return table.Duration("deadline", DefaultLeaveDeadline, minLeaveDeadline, maxLeaveDeadline)
}

func readLogLevel(table *tomldoc.Table) slog.Level {
	var level slog.Level
	text := table.OneOf("level", DefaultLogLevel, logLevels...)
	// UnmarshalText accepts every text in logLevels, so it returns no error.
	_ = level.UnmarshalText([]byte(text))
	return level
}

// hostReader reads host entries and reports duplicate seed ids and addresses.
type hostReader struct {
	ownID   state.HostID
	seedIDs map[state.HostID]bool
	// usedUDP and usedTCP hold the addresses read so far.
	usedUDP map[netip.AddrPort]bool
	usedTCP map[netip.AddrPort]bool
}

func newHostReader() *hostReader {
	return &hostReader{
		seedIDs: make(map[state.HostID]bool),
		usedUDP: make(map[netip.AddrPort]bool),
		usedTCP: make(map[netip.AddrPort]bool),
	}
}

func (r *hostReader) readHost(table *tomldoc.Table) state.Host {
	return state.Host{
		ID:      state.HostID(table.Name("id")),
		Domain:  state.DomainID(table.Name("domain")),
		Packets: r.readUDPAddress(table, "packets"),
		Relay:   r.readUDPAddress(table, "relay"),
		Control: r.readTCPAddress(table, "control"),
	}
}

// readSeeds reads the seeds. All hosts may share one list, so the entry with
// this host's own id is left out.
func (r *hostReader) readSeeds(table *tomldoc.Table) []state.Host {
	var seeds []state.Host
	for _, item := range table.TableArray("seeds") {
		if id := state.HostID(item.Name("id")); id != "" && id == r.ownID {
			r.checkOwnSeed(item)
			continue
		}
		seed := r.readHost(item)
		if seed.ID != "" && r.seedIDs[seed.ID] {
			item.Report("id", "is used by two seeds; ids must be unique")
		}
		r.seedIDs[seed.ID] = true
		seeds = append(seeds, seed)
	}
	return seeds
}

// checkOwnSeed validates this host's own entry among the seeds; its addresses
// repeat those of the host and need not be unique.
func (r *hostReader) checkOwnSeed(table *tomldoc.Table) {
	table.Name("domain")
	for _, key := range []string{"packets", "relay", "control"} {
		readAddress(table, key)
	}
}

func (r *hostReader) readUDPAddress(table *tomldoc.Table, key string) netip.AddrPort {
	return r.readUniqueAddress(table, key, r.usedUDP)
}

func (r *hostReader) readTCPAddress(table *tomldoc.Table, key string) netip.AddrPort {
	return r.readUniqueAddress(table, key, r.usedTCP)
}

func (r *hostReader) readUniqueAddress(table *tomldoc.Table, key string, used map[netip.AddrPort]bool) netip.AddrPort {
	value := readAddress(table, key)
	if value.IsValid() && used[value] {
		table.Report(key, "is already used by another key; addresses must be unique")
	}
	used[value] = true
	return value
}
