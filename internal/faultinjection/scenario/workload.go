package scenario

// Clients defines the behaviour of clients.
type Clients struct {
	Retries           int     `toml:"retries"` // number of retries after rejections
	Backoff           Range   `toml:"backoff_ms"`
	BackoffGrowth     float64 `toml:"growth"`    // factor by which the backoff grows with each rejection
	HonourRetryAfter  float64 `toml:"honour"`    // fraction of messages whose client waits for Retry-After
	ResponseTimeoutMS float64 `toml:"answer_ms"` // time after which the client closes the connection
	ResubmitDelay     Range   `toml:"again_s"`   // time until a message is submitted again after its relay was unreachable, gave no response or was lost
	BodySize          Range   `toml:"body_bytes"`
	MarkRetries       bool    `toml:"mark_retries"` // retries have the header Client-Retry: 1
}

// LoadShape defines how the arrival rate changes over a run.
type LoadShape string

// The load shapes.
const (
	LoadSteady LoadShape = "steady"
	LoadWave   LoadShape = "wave" // a sine
	LoadRamp   LoadShape = "ramp" // linear, from rate * (1 - amplitude) to rate * (1 + amplitude)
)

// Load defines the arrival rate and the bursts of messages.
type Load struct {
	Rate        float64   `toml:"rate,required"` // mean messages per second
	Shape       LoadShape `toml:"shape"`
	Amplitude   float64   `toml:"swing"`    // fraction of the rate by which it rises and falls
	Period      float64   `toml:"period_s"` // period of a wave
	BurstShare  float64   `toml:"clumps"`   // fraction of messages that arrive in bursts, each burst for one destination
	BurstLength Range     `toml:"clump_s"`  // a burst has the number of messages that its destination admits in this time
}

// Idempotency defines whether a request may be executed more than once.
type Idempotency string

// The kinds of idempotency.
const (
	Idempotent      Idempotency = "safe"
	IdempotentByKey Idempotency = "keyed" // a destination drops a repeat until the TTL of its idempotency key ends
	NotIdempotent   Idempotency = "unsafe"
)

// Distribution is the distribution of service times around their mean.
type Distribution string

// The distributions.
const (
	Exponential Distribution = "exp"
	Lognormal   Distribution = "lognormal"
	Fixed       Distribution = "fixed"
)

// Class is a class of messages.
type Class struct {
	Name             string       `toml:"name,required"`
	Share            float64      `toml:"share"` // of the traffic, relative to the other classes' shares
	PriorityWeight   float64      `toml:"worth"`
	LateFraction     float64      `toml:"late_share"` // fraction of the priority weight that is left at the deadline
	LatencyObjective float64      `toml:"aim_s,required"`
	Deadline         float64      `toml:"deadline_s,required"`
	Idempotency      Idempotency  `toml:"effect,required"`
	KeyTTL           float64      `toml:"memory_s"` // only if idempotent by key: how long a destination drops repeats of a key
	Ordered          bool         `toml:"ordered"`  // messages with the same order key are delivered one at a time, in order
	OrderKeys        int          `toml:"keys"`     // only if ordered: number of different order keys
	Subjects         int          `toml:"subjects"` // number of subjects whose status messages report; only the newest message about a subject counts; 0: none
	ServiceTimeMS    float64      `toml:"service_ms,required"`
	Distribution     Distribution `toml:"spread"` // of the service time
	CV               float64      `toml:"cv"`     // coefficient of variation of a lognormal service time
	Noise            float64      `toml:"noise"`  // coefficient of variation between the attempts of one message
}

// Tenant is one of the tenants that share the service.
type Tenant struct {
	Name              string  `toml:"name,required"`
	Share             float64 `toml:"share"`
	Quota             float64 `toml:"quota"`            // messages per second; 0: unlimited
	OverQuotaFraction float64 `toml:"over_share_worth"` // fraction of the priority weight that remains for a message beyond the quota
}
