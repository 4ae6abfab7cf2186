package coord

import "time"

// Limits of the state's tables. A command that would exceed a limit gets CodeLimitExceeded; nothing
// is evicted in its favour.
const (
	MaxSessions         = 4096
	MaxLeases           = 16384
	MaxQueueLength      = 1024  // of one lease
	MaxQueuedRequests   = 65536 // in the queues of all leases
	MaxLeasesPerSession = 10240 // leases that one session holds or is queued for
	MaxValues           = 4096
	MaxValueSize        = 64 << 10 // bytes
	MaxValueBytes       = 16 << 20 // of all values
	MaxNameSize         = 256      // bytes of a name, key, reason or nonce

	// MaxMembers bounds the size of the cluster: each further member makes consensus slower, and
	// members beyond the fifth do not make it safer.
	MaxMembers = 9
)

// Limits of the changes and events that are retained for readers. The oldest are dropped first.
const (
	MaxRetainedChanges = 1024 // writes of values, for watches
	MaxRetainedEvents  = 4096 // events of leases

	// compactionDivisor determines how much of a full list is dropped at once: a quarter, so that
	// the rest of the list is not copied at every addition.
	compactionDivisor = 4
)

// Limits of a session's time to live.
const (
	MinTTL = 500 * time.Millisecond // a shorter session would expire during an election
	MaxTTL = 10 * time.Minute
)
