package steer

import (
	"maps"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// Limits of the table of cookies without a known target.
const (
	maxUnknownCookies     = 4096
	unknownCookieLifetime = time.Minute
)

// unknownCookies distinguishes cookies of targets that are gone from those of targets
// that started after the targets were last read.
type unknownCookies struct {
	// seen holds when each cookie was first seen without a known target.
	seen map[catalog.Cookie]time.Duration
	// targetsReadAt is when the latest answered read of the targets was requested.
	targetsReadAt time.Duration
	// readRequested requests a read of the targets now.
	readRequested bool
}

// readSinceFirstSeen reports whether a read of the targets was requested after the
// cookie was first seen and has been answered. Otherwise it requests a read.
func (u *unknownCookies) readSinceFirstSeen(now time.Duration, cookie catalog.Cookie) bool {
	first, known := u.seen[cookie]
	if !known && len(u.seen) < maxUnknownCookies {
		u.seen[cookie] = now
	}
	if known && u.targetsReadAt > first {
		return true
	}
	u.readRequested = true
	return false
}

// sweep removes cookies that were first seen more than unknownCookieLifetime ago.
func (u *unknownCookies) sweep(now time.Duration) {
	maps.DeleteFunc(u.seen, func(_ catalog.Cookie, first time.Duration) bool {
		return now-first > unknownCookieLifetime
	})
}

// SetTargetsReadAt sets when the latest answered read of the targets was requested.
// The view in force must already hold the result of that read.
func (e *Engine) SetTargetsReadAt(at time.Duration) { e.unknownCookies.targetsReadAt = at }

// DrainReadRequests returns the reads requested since the last call.
func (e *Engine) DrainReadRequests() ReadRequests {
	requested := e.unresolved.requested
	requested.Targets = e.unknownCookies.readRequested
	e.unresolved.requested = ReadRequests{}
	e.unknownCookies.readRequested = false
	return requested
}
