package platform

import "sync/atomic"

// Counters are totals since the start. A watch also counts as one read, however
// long it waits.
type Counters struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	Watches     int64 `json:"watches"`
	Conflicts   int64 `json:"conflicts"`
	RateLimited int64 `json:"rate_limited"`
	Faulted     int64 `json:"faulted"`
	// BytesIn counts bytes of values written, BytesOut bytes of JSON replies.
	BytesIn  int64 `json:"bytes_in"`
	BytesOut int64 `json:"bytes_out"`
}

type counters struct {
	reads, writes, watches atomic.Int64
	conflicts, rateLimited atomic.Int64
	faulted                atomic.Int64
	bytesIn, bytesOut      atomic.Int64
}

func (c *counters) snapshot() Counters {
	return Counters{
		Reads:       c.reads.Load(),
		Writes:      c.writes.Load(),
		Watches:     c.watches.Load(),
		Conflicts:   c.conflicts.Load(),
		RateLimited: c.rateLimited.Load(),
		Faulted:     c.faulted.Load(),
		BytesIn:     c.bytesIn.Load(),
		BytesOut:    c.bytesOut.Load(),
	}
}
