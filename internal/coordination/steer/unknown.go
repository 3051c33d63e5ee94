package steer

import (
	"maps"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// Limits of what is remembered of cookies that name no known target.
const (
	maxUnknownCookies     = 4096
	unknownCookieLifetime = time.Minute
)

// unknownCookies tells cookies of targets that are gone from those of targets that
// started too late to be known here.
type unknownCookies struct {
	// seen holds when a cookie was first seen without its target being known.
	seen map[catalog.Cookie]time.Duration
	// targetsReadAt is when the newest answered read of the targets was asked for.
	targetsReadAt time.Duration
	// readRequested asks for a read now.
	readRequested bool
}

// readSinceFirstSeen tells whether the targets were read after the cookie was first seen.
// If not it asks for a read.
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

func (u *unknownCookies) sweep(now time.Duration) {
	maps.DeleteFunc(u.seen, func(_ catalog.Cookie, first time.Duration) bool {
		return now-first > unknownCookieLifetime
	})
}

// SetTargetsReadAt tells when the newest answered read of the targets was asked for.
// The view in force holds what that read brought.
func (e *Engine) SetTargetsReadAt(at time.Duration) { e.unknownCookies.targetsReadAt = at }

// DrainReadRequest tells whether the targets are to be read now, since the last call.
func (e *Engine) DrainReadRequest() bool {
	wanted := e.unknownCookies.readRequested
	e.unknownCookies.readRequested = false
	return wanted
}
