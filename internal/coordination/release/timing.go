package release

import "time"

// Timings and limits.
const (
	// WatchersPerDomain is how many hosts of a domain watch the platform.
	WatchersPerDomain = 2
	// WatchTimeout is how long the platform holds a watch open for a change.
	WatchTimeout = 8 * time.Second
	// DigestInterval is the time between two digests to a random peer.
	DigestInterval = 500 * time.Millisecond
	// PushFanout is how many peers of its domain a host sends a change to at
	// once.
	PushFanout = 3
	// FetchInterval is the minimum time between two requests for missing
	// content.
	FetchInterval = 300 * time.Millisecond
	// StagingReportInterval is the time between two staging reports about a
	// note.
	StagingReportInterval = time.Second
	// TakeoverInterval is how much longer each further coordinator or reporter
	// waits before it acts in place of the earlier ones.
	TakeoverInterval = time.Second
	// ReporterStartDelay is how long a host runs before it reports for its
	// domain; by then it knows its peers.
	ReporterStartDelay = 3 * time.Second
	// DeadlineMargin is how far a note's deadline may lie beyond the time that
	// the note allows for staging. Beyond it the clock that set the deadline is
	// assumed to be wrong.
	DeadlineMargin = 5 * time.Second
	// DisconnectedAfter is how long a host goes without contact with the
	// platform, directly or through peers, before it counts as disconnected.
	DisconnectedAfter = 15 * time.Second
	// WatcherRotationInterval is how often the watchers rotate while
	// disconnected.
	WatcherRotationInterval = 10 * time.Second
	// PeerFetchTimeout is how long a release is requested from peers before it
	// is read from the platform.
	PeerFetchTimeout = 2 * time.Second
	// InitialBackoff and MaxBackoff bound the wait after a failed platform call.
	InitialBackoff = 200 * time.Millisecond
	MaxBackoff     = 4 * time.Second
	// CheckpointInterval is the number of releases between two checkpoints.
	CheckpointInterval = 16
	// MaxAcceptedNotes is how many accepted notes a host keeps for its peers.
	MaxAcceptedNotes = 16
	// PauseThreshold is the longest gap between two events of the machine that
	// does not count as a pause of the process.
	PauseThreshold = time.Second
	// RejoinWindow is how long after a start, a pause or a disconnection a newer
	// release counts as accepted while this host was away, that is, not running or
	// disconnected.
	RejoinWindow = time.Second
	// StagedWriteTimeout is how long the write of a domain's staging status is
	// retried.
	StagedWriteTimeout = 30 * time.Second
	// DeadHostRetention is how long a host that left the view still counts in
	// its domain's status: it may be alive and only slow to answer.
	DeadHostRetention = 5 * time.Second
	// BehindReportDelay is how long a host is behind before its domain's status
	// names it.
	BehindReportDelay = 3 * time.Second
	// CheckpointPartSize is the target size of a checkpoint part in bytes.
	CheckpointPartSize = 700 << 10
)
