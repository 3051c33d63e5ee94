package membership

import "time"

// Probing.
const (
	// ProbeInterval is the mean time between two probes of this host.
	ProbeInterval = 500 * time.Millisecond
	// ProbeTimeout is how long a direct probe waits before other hosts are
	// asked to probe on this host's behalf.
	ProbeTimeout = 200 * time.Millisecond
	// ProbeDeadline is how long after its start an unanswered probe raises
	// suspicion.
	ProbeDeadline = 500 * time.Millisecond
	// IndirectProbes is the number of hosts asked to probe indirectly.
	IndirectProbes = 3
	// probeJitter is the largest shift of one probe, as a part of ProbeInterval.
	probeJitter = 0.2
)

// Suspicion.
const (
	// MinSuspicionTimeout is how long a suspicion lasts once enough hosts confirmed it.
	MinSuspicionTimeout = 1 * time.Second
	// SuspicionTimeoutStep is added to an unconfirmed suspicion per doubling of the
	// domain.
	SuspicionTimeoutStep = 500 * time.Millisecond
	// SuspicionConfirmations is the number of other hosts whose own suspicion
	// shortens it to SuspicionMin.
	SuspicionConfirmations = 2
	// SuspectProbeInterval is the time between two rounds of probes to hosts that this
	// host suspects itself, and MaxSuspectProbes bounds one round.
	SuspectProbeInterval = 200 * time.Millisecond
	MaxSuspectProbes     = 2
	// TombstoneRetention is how long a dead host's entry is kept, so that stale
	// news does not revive it.
	TombstoneRetention = 2 * time.Minute
)

// Gossip.
const (
	// MaxUpdatesPerMessage bounds the recent changes carried by one message.
	MaxUpdatesPerMessage = 4
	// MaxRefreshedPerMessage bounds the unchanged entries repeated by one message.
	MaxRefreshedPerMessage = 2
	// TransmitFactor times log2 of the domain's size is how often a host passes
	// on one update.
	TransmitFactor = 3
)

// Joining and returning.
const (
	// JoinFanout bounds the candidates probed at once while no peer is known.
	JoinFanout = 3
	// ReconnectInterval is the time between probes of listed or recently dead
	// hosts that do not answer.
	ReconnectInterval = 1 * time.Second
	// SyncInterval is the time between two pages of a joining host's sync.
	SyncInterval = 300 * time.Millisecond
	// SyncPageSize bounds the entries of one page.
	SyncPageSize = 16
	// PauseThreshold is the gap between two ticks after which this host treats
	// its own timers as stale.
	PauseThreshold = 1 * time.Second
)

// Other domains.
const (
	// GatewaysPerDomain is the number of hosts of a domain that probe each other domain.
	GatewaysPerDomain = 2
	// MaxContacts bounds the hosts known of each other domain.
	MaxContacts = 16
)
