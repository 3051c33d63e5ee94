// Package settings parses guavad's TOML settings file. The whole file is
// validated before guavad opens any socket.
package settings

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Settings are the validated settings of one guavad process.
type Settings struct {
	// Host holds the id, failure domain and addresses of this entry host.
	Host state.Host
	// Metrics is the address that serves the expvar page over HTTP.
	Metrics netip.AddrPort
	// ReturnAddress is where packets to callers are sent, encapsulated in UDP.
	ReturnAddress netip.AddrPort
	// Platform configures the calls to the platform's object API.
	Platform Platform
	// Seeds are the hosts contacted first to join the membership.
	Seeds []state.Host
	// Traffic sets the shards and flow limits of the packet path.
	Traffic Traffic
	// LeaveDeadline is the longest time that a graceful shutdown may take.
	LeaveDeadline time.Duration
	// LogLevel is the lowest level that is logged.
	LogLevel slog.Level
}

// Platform configures the calls to the platform's object API.
type Platform struct {
	// URL is the base URL of the object API.
	URL string
	// Timeout limits each call except watches.
	Timeout time.Duration
}

// Traffic sets the shards and flow limits of the packet path.
type Traffic struct {
	// Workers is the number of shards, each served by one worker at a time.
	Workers int
	// MaxFlows is the largest number of flow records on the whole host.
	MaxFlows int
	// MaxNewFlows is the largest number of new flows per second that the whole
	// host places.
	MaxNewFlows int
}
