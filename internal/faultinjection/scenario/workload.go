package scenario

// Clients is how clients behave.
type Clients struct {
	Retries           int     `toml:"retries"` // after rejections
	Backoff           Range   `toml:"backoff_ms"`
	BackoffGrowth     float64 `toml:"growth"`    // factor by which the backoff grows with each rejection
	HonourRetryAfter  float64 `toml:"honour"`    // fraction of messages whose client waits for Retry-After
	ResponseTimeoutMS float64 `toml:"answer_ms"` // after which the client closes the connection
	ResubmitDelay     Range   `toml:"again_s"`   // until another relay is sent what a dead one had accepted
	BodySize          Range   `toml:"body_bytes"`
	MarkRetries       bool    `toml:"mark_retries"` // Client-Retry: 1
}

// LoadShape is how the arrival rate changes over a run.
type LoadShape string

// The load shapes.
const (
	LoadSteady LoadShape = "steady"
	LoadWave   LoadShape = "wave" // a sine
	LoadRamp   LoadShape = "ramp" // linear, from rate - amplitude to rate + amplitude
)

// Load is what clients send.
type Load struct {
	Rate        float64   `toml:"rate,required"` // mean messages per second
	Shape       LoadShape `toml:"shape"`
	Amplitude   float64   `toml:"swing"`    // fraction of the rate by which it rises and falls
	Period      float64   `toml:"period_s"` // of a wave
	BurstShare  float64   `toml:"clumps"`   // fraction of messages that arrive in bursts for one destination
	BurstLength Range     `toml:"clump_s"`  // a burst has as many messages as its destination admits in this time
}

// Idempotency is what a repeated execution of a request does.
type Idempotency string

// The kinds of idempotency.
const (
	Idempotent      Idempotency = "safe"
	IdempotentByKey Idempotency = "keyed" // a destination drops a repeat with a key that it remembers
	NotIdempotent   Idempotency = "unsafe"
)

// Distribution is the distribution of service times about their mean.
type Distribution string

// The distributions.
const (
	Exponential Distribution = "exp"
	Lognormal   Distribution = "lognormal"
	Fixed       Distribution = "fixed"
)

// Class is a class of message.
type Class struct {
	Name             string       `toml:"name,required"`
	Share            float64      `toml:"share"` // of the traffic, relative to the other classes' shares
	PriorityWeight   float64      `toml:"worth"`
	LateFraction     float64      `toml:"late_share"` // fraction of the priority weight that is left at the deadline
	LatencyObjective float64      `toml:"aim_s,required"`
	Deadline         float64      `toml:"deadline_s,required"`
	Idempotency      Idempotency  `toml:"effect,required"`
	KeyTTL           float64      `toml:"memory_s"` // by key: how long destinations drop a repeat
	Ordered          bool         `toml:"ordered"`  // messages with one order key are delivered one after the other
	OrderKeys        int          `toml:"keys"`     // ordered: the number of different keys
	Subjects         int          `toml:"subjects"` // the number of things whose status messages report, the newest counting; 0: none
	ServiceTimeMS    float64      `toml:"service_ms,required"`
	Distribution     Distribution `toml:"spread"` // of the service time
	CV               float64      `toml:"cv"`     // coefficient of variation of a lognormal service time
	Noise            float64      `toml:"noise"`  // coefficient of variation between attempts of one message
}

// Tenant is one of those that share the service.
type Tenant struct {
	Name              string  `toml:"name,required"`
	Share             float64 `toml:"share"`
	Quota             float64 `toml:"quota"`            // messages per second; 0: unlimited
	OverQuotaFraction float64 `toml:"over_share_worth"` // fraction of the priority weight that a message beyond the quota has
}
