package settings

import (
	"log/slog"
	"net/netip"
	"net/url"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/tomldoc"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Parse reads and checks a settings file. Settings are valid only if there are
// no issues; otherwise every issue of the file is returned.
func Parse(data []byte) (Settings, tomldoc.Issues) {
	return tomldoc.Read(data, read)
}

func read(root *tomldoc.Table) Settings {
	hosts := newHostReader()
	host := root.Subtable("host")
	self := hosts.read(host)
	hosts.own = self.ID
	return Settings{
		Host:          self,
		Metrics:       hosts.tcpAddress(host, "metrics"),
		Return:        address(root.Subtable("fabric"), "return"),
		Platform:      readPlatform(root.Subtable("platform")),
		Seeds:         hosts.readSeeds(root.Subtable("membership")),
		Traffic:       readTraffic(root.Subtable("traffic")),
		LeaveDeadline: readLeave(root.Subtable("leave")),
		LogLevel:      readLevel(root.Subtable("log")),
	}
}

// address reads a required IP:port that something can be sent to.
func address(table *tomldoc.Table, key string) netip.AddrPort {
	value := table.AddrPort(key)
	if value.IsValid() && value.Addr().IsUnspecified() {
		table.Report(key, "is not allowed; allowed: "+rangeAddress)
	}
	return value
}

func readPlatform(table *tomldoc.Table) Platform {
	const allowed = "http or https URL with a host, as http://192.0.2.1:8080"
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

func readLeave(table *tomldoc.Table) time.Duration {
	return table.Duration("deadline", DefaultLeaveDeadline, minLeaveDeadline, maxLeaveDeadline)
}

func readLevel(table *tomldoc.Table) slog.Level {
	var level slog.Level
	text := table.OneOf("level", DefaultLogLevel, logLevels...)
	// Every allowed text is a level.
	_ = level.UnmarshalText([]byte(text))
	return level
}

// hostReader reads hosts and reports what two of them share.
type hostReader struct {
	own state.HostID
	ids map[state.HostID]bool
	// udp and tcp hold the addresses in use.
	udp map[netip.AddrPort]bool
	tcp map[netip.AddrPort]bool
}

func newHostReader() *hostReader {
	return &hostReader{
		ids: make(map[state.HostID]bool),
		udp: make(map[netip.AddrPort]bool),
		tcp: make(map[netip.AddrPort]bool),
	}
}

func (r *hostReader) read(table *tomldoc.Table) state.Host {
	return state.Host{
		ID:      state.HostID(table.Name("id")),
		Domain:  state.DomainID(table.Name("domain")),
		Packets: r.udpAddress(table, "packets"),
		Relay:   r.udpAddress(table, "relay"),
		Control: r.tcpAddress(table, "control"),
	}
}

// readSeeds reads the seeds. All hosts may share one list: a seed that is this
// host itself is left out.
func (r *hostReader) readSeeds(table *tomldoc.Table) []state.Host {
	var seeds []state.Host
	for _, item := range table.TableArray("seeds") {
		if id := state.HostID(item.Name("id")); id != "" && id == r.own {
			r.skip(item)
			continue
		}
		seed := r.read(item)
		if seed.ID != "" && r.ids[seed.ID] {
			item.Report("id", "is used by two seeds; ids are unique")
		}
		r.ids[seed.ID] = true
		seeds = append(seeds, seed)
	}
	return seeds
}

// skip reads this host's own entry among the seeds.
func (r *hostReader) skip(table *tomldoc.Table) {
	table.Name("domain")
	for _, key := range []string{"packets", "relay", "control"} {
		address(table, key)
	}
}

func (r *hostReader) udpAddress(table *tomldoc.Table, key string) netip.AddrPort {
	return r.unique(table, key, r.udp)
}

func (r *hostReader) tcpAddress(table *tomldoc.Table, key string) netip.AddrPort {
	return r.unique(table, key, r.tcp)
}

func (r *hostReader) unique(table *tomldoc.Table, key string, used map[netip.AddrPort]bool) netip.AddrPort {
	value := address(table, key)
	if value.IsValid() && used[value] {
		table.Report(key, "is already used by another key; each address is used once")
	}
	used[value] = true
	return value
}
