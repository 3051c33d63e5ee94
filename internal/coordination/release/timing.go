package release

import "time"

// Timings and sizes.
const (
	// WatchersPerDomain is how many hosts of a domain watch the platform.
	WatchersPerDomain = 2
	// WatchWait is how long a watch waits for a change.
	WatchWait = 8 * time.Second
	// NewsInterval is the time between two digests to a random peer.
	NewsInterval = 500 * time.Millisecond
	// NewsFanout is how many peers hear of a change at once.
	NewsFanout = 3
	// AskInterval is the time between two requests for missing content.
	AskInterval = 300 * time.Millisecond
	// AnswerInterval is the time between two answers about a staged note.
	AnswerInterval = time.Second
	// TakeoverInterval is how long each next driver or aggregator holds back.
	TakeoverInterval = time.Second
	// SettleTime is how long a host runs before it speaks for its domain.
	SettleTime = 3 * time.Second
	// DeadlineMargin is how far a note's deadline may lie beyond the time that
	// the note allows, before the clock that set it is held to be wrong.
	DeadlineMargin = 5 * time.Second
	// CutOffAfter is how long a host hears nothing of the platform, directly or
	// through peers, before it counts as cut off.
	CutOffAfter = 15 * time.Second
	// RotateInterval is how often other hosts try the platform while cut off.
	RotateInterval = 10 * time.Second
	// PeerFetchTimeout is how long peers are asked for a release before the
	// platform is.
	PeerFetchTimeout = 2 * time.Second
	// BackoffFirst and BackoffMax bound the wait after a failed platform call.
	BackoffFirst = 200 * time.Millisecond
	BackoffMax   = 4 * time.Second
	// CheckpointInterval is the number of releases between two checkpoints.
	CheckpointInterval = 16
	// KeptNotes is how many accepted notes a host keeps for its peers.
	KeptNotes = 16
	// PauseAfter is the gap between two ticks that counts as a pause.
	PauseAfter = time.Second
	// ReturnWindow is how long after a return releases may turn out to be missed.
	ReturnWindow = time.Second
	// StagedLifetime is how long a domain's answer is worth writing.
	StagedLifetime = 30 * time.Second
	// GoneAfter is how long a host that is taken for dead still counts in its
	// domain's status: it may live and only be slow to answer.
	GoneAfter = 5 * time.Second
	// BehindAfter is how long a host lags before its domain's status names it.
	BehindAfter = 3 * time.Second
	// PartSize is the aimed size of a checkpoint part in bytes.
	PartSize = 700 << 10
)
