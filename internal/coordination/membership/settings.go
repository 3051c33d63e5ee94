package membership

import "time"

// Probing.
const (
	// ProbeInterval is the mean time between two probes sent by this host.
	ProbeInterval = 500 * time.Millisecond
	// ProbeTimeout is how long a host waits for the answer to a direct probe before
	// it sends the probe again and asks other hosts to probe on its behalf.
	ProbeTimeout = 200 * time.Millisecond
	// ProbeDeadline is the age at which an unanswered probe makes its target a
	// suspect.
	ProbeDeadline = 500 * time.Millisecond
	// IndirectProbes is the number of hosts asked to probe one target indirectly.
	IndirectProbes = 3
	// probeJitter is the maximum jitter as a fraction of ProbeInterval.
	probeJitter = 0.2
)

// Suspicion.
const (
	// MinSuspicionTimeout is how long a suspicion lasts once enough hosts have
	// confirmed it.
	MinSuspicionTimeout = 1 * time.Second
	// SuspicionTimeoutStep is added to the timeout of an unconfirmed suspicion each
	// time that the domain's size doubles.
	SuspicionTimeoutStep = 500 * time.Millisecond
	// SuspicionConfirmations is the number of other hosts that must suspect a host
	// independently to shorten the timeout to MinSuspicionTimeout.
	SuspicionConfirmations = 2
	// SuspectProbeInterval is the time between two rounds of probes to the hosts that
	// this host itself suspects. MaxSuspectProbes bounds the probes of one round.
	SuspectProbeInterval = 200 * time.Millisecond
	MaxSuspectProbes     = 2
	// TombstoneRetention is how long a dead host's entry is kept, so that stale
	// gossip does not revive the host.
	TombstoneRetention = 2 * time.Minute
)

// Gossip.
const (
	// MaxUpdatesPerMessage bounds the recent changes in one message within the domain,
	// and the contacts in one message to another domain.
	MaxUpdatesPerMessage = 4
	// MaxRefreshedPerMessage bounds the entries that one message repeats whether or
	// not they have changed.
	MaxRefreshedPerMessage = 2
	// TransmitFactor times log2 of the domain's size is the number of messages in
	// which a host sends one update.
	TransmitFactor = 3
)

// Joining and reconnecting.
const (
	// JoinFanout bounds the candidates probed at once while no peer in this domain is
	// known, and the hosts of this domain that an announcement is sent to.
	JoinFanout = 3
	// ReconnectInterval is the time between two probes of hosts that are listed but
	// unknown, or that died recently.
	ReconnectInterval = 1 * time.Second
	// SyncInterval is the time between two page requests of a joining host.
	SyncInterval = 300 * time.Millisecond
	// SyncPageSize bounds the entries of one page.
	SyncPageSize = 16
	// PauseThreshold is the gap between two events from which this host infers that its
	// own process was paused. Its pending probes and suspicions are stale then.
	PauseThreshold = 1 * time.Second
)

// Other domains.
const (
	// GatewaysPerDomain is the number of hosts of a domain that probe each other
	// domain.
	GatewaysPerDomain = 2
	// MaxContacts bounds the known hosts of each other domain.
	MaxContacts = 16
)
