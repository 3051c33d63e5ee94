// Package settings reads guavad's settings from TOML and checks them as a
// whole before anything opens.
package settings

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Settings are the checked settings of one guavad process.
type Settings struct {
	// Host is this entry host with its addresses.
	Host state.Host
	// Metrics serves the expvar page over HTTP.
	Metrics netip.AddrPort
	// ReturnAddress is where packets to callers are sent, encapsulated in UDP.
	ReturnAddress netip.AddrPort
	// Platform is the platform's service.
	Platform Platform
	// Seeds are the hosts to try first when joining.
	Seeds []state.Host
	// Traffic sizes the packet path.
	Traffic Traffic
	// LeaveDeadline bounds a graceful shutdown.
	LeaveDeadline time.Duration
	// LogLevel is the lowest level that is logged.
	LogLevel slog.Level
}

// Platform says how to reach the platform.
type Platform struct {
	// URL is the base URL of the object API.
	URL string
	// Timeout bounds one call, watches excepted.
	Timeout time.Duration
}

// Traffic sizes the packet path.
type Traffic struct {
	// Workers is the number of shards, each served by one worker at a time.
	Workers int
	// MaxFlows is the largest number of flow records of the whole host.
	MaxFlows int
	// MaxNewFlows is the most new flows a second that the whole host places.
	MaxNewFlows int
}
