package release

import "time"

// Timings and sizes.
const (
	// WatchersPerDomain is how many hosts of a domain watch the platform.
	WatchersPerDomain = 2
	// WatchTimeout is how long a watch waits for a change.
	WatchTimeout = 8 * time.Second
	// DigestInterval is the time between two digests to a random peer.
	DigestInterval = 500 * time.Millisecond
	// PushFanout is how many peers hear of a change at once.
	PushFanout = 3
	// FetchInterval is the time between two requests for missing content.
	FetchInterval = 300 * time.Millisecond
	// StagingReportInterval is the time between two answers about a staged note.
	StagingReportInterval = time.Second
	// TakeoverInterval is how long each next driver or aggregator holds back.
	TakeoverInterval = time.Second
	// ReporterStartDelay is how long a host runs before it speaks for its domain.
	ReporterStartDelay = 3 * time.Second
	// DeadlineMargin is how far a note's deadline may lie beyond the time that
	// the note allows, before the clock that set it is held to be wrong.
	DeadlineMargin = 5 * time.Second
	// DisconnectedAfter is how long a host hears nothing of the platform, directly or
	// through peers, before it counts as cut off.
	DisconnectedAfter = 15 * time.Second
	// WatcherRotationInterval is how often other hosts try the platform while cut off.
	WatcherRotationInterval = 10 * time.Second
	// PeerFetchTimeout is how long peers are asked for a release before the
	// platform is.
	PeerFetchTimeout = 2 * time.Second
	// InitialBackoff and BackoffMax bound the wait after a failed platform call.
	InitialBackoff = 200 * time.Millisecond
	MaxBackoff   = 4 * time.Second
	// CheckpointInterval is the number of releases between two checkpoints.
	CheckpointInterval = 16
	// MaxAcceptedNotes is how many accepted notes a host keeps for its peers.
	MaxAcceptedNotes = 16
	// PauseThreshold is the gap between two ticks that counts as a pause.
	PauseThreshold = time.Second
	// RejoinWindow is how long after a return releases may turn out to be missed.
	RejoinWindow = time.Second
	// StagedWriteTimeout is how long a domain's answer is worth writing.
	StagedWriteTimeout = 30 * time.Second
	// DeadHostRetention is how long a host that is taken for dead still counts in its
	// domain's status: it may live and only be slow to answer.
	DeadHostRetention = 5 * time.Second
	// BehindReportDelay is how long a host lags before its domain's status names it.
	BehindReportDelay = 3 * time.Second
	// CheckpointPartSize is the aimed size of a checkpoint part in bytes.
	CheckpointPartSize = 700 << 10
)
