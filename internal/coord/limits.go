package coord

import "time"

// The bounds of every table. A command that would exceed one gets CodeLimitExceeded; nothing is
// evicted to make room.
const (
	MaxSessions         = 4096
	MaxLeases           = 16384
	MaxQueueLength      = 1024  // of one lease
	MaxQueuedRequests   = 65536 // of all leases
	MaxLeasesPerSession = 10240 // held and queued for
	MaxValues           = 4096
	MaxValueSize        = 64 << 10 // bytes
	MaxValueBytes       = 16 << 20 // of all values
	MaxNameSize         = 256      // bytes of a name, key, reason or nonce

	// MaxMembers bounds the cluster: consensus gets slower with each member, and not safer beyond
	// five.
	MaxMembers = 9
)

// The bounds of what is retained for readers. The oldest part goes first.
const (
	MaxRetainedChanges = 1024 // writes of values, for watches
	MaxRetainedEvents  = 4096 // events of leases

	// compactionDivisor divides either bound: so much goes at once, so that the rest is
	// not moved at every addition.
	compactionDivisor = 4
)

// The bounds of a session's time to live.
const (
	MinTTL = 500 * time.Millisecond // an election would expire sessions of less
	MaxTTL = 10 * time.Minute
)
