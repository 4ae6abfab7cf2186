package settings

// Settings are the parameters that a relay starts with, and the limits and rules against which a fault injection run checks the relay.
type Settings struct {
	Zone              int       `json:"az"`         // the relay's zone, as an index into Zones
	Classes           []Class   `json:"categories"` // the classes of requests
	Discovery         string    `json:"discovery"`  // "subscribe": the relay requests a watch of the endpoint list; "automatic": the relay gets the list without a request
	Limits            Limits    `json:"limits"`
	Zones             []string  `json:"localities"`       // the names of the zones
	Instances         int       `json:"n_instances"`      // number of relays in the fleet
	Ordinal           int       `json:"ordinal"`          // this relay's number in the fleet
	OverQuotaFraction float64   `json:"over_share_worth"` // factor on the priority weight of a request beyond its tenant's quota
	BatchIntervalS    float64   `json:"quantum_s"`        // the minimum time between two batches of events
	Report            Report    `json:"report"`
	Rules             Rules     `json:"rules"`
	DestinationKinds  []string  `json:"shapes"` // the kinds of destination
	Specifics         Specifics `json:"specifics"`
	Tenants           []Tenant  `json:"tenants"`
	Weights           string    `json:"weights"` // how endpoints' weights are interpreted: "off", "nominal" or "rough"
}

// Class is a class of requests.
type Class struct {
	Name              string  `json:"name"`
	LatencyObjectiveS float64 `json:"aim_s"`         // latency objective
	DeadlineS         float64 `json:"deadline_s"`    // time after which a delivery has no value
	Idempotency       string  `json:"idempotency"`   // "retryable": idempotent; "dedup": idempotent by key; "fragile": not idempotent
	KeyScope          string  `json:"group"`         // for "dedup", the endpoints of a destination that share keys: "all" of them, or otherwise only those in the same zone
	Ordered           bool    `json:"fifo_by_key"`   // requests with the same order key are delivered one at a time
	LateFraction      float64 `json:"late_share"`    // fraction of the priority weight that remains at the deadline
	KeyTTLS           float64 `json:"memory_span_s"` // how long a destination remembers an idempotency key
	PriorityWeight    float64 `json:"points"`        // priority weight
}

// Limits are the limits that the platform sets, and the optional features that it allows.
type Limits struct {
	Cancel           bool    `json:"cancel"` // attempts can be cancelled
	IdleConnTimeoutS float64 `json:"conn_idle_s"`
	ConnectTimeoutS  float64 `json:"connect_timeout_s"`
	MaxAttempts      int     `json:"max_attempts"` // per request
	MaxHeld          int     `json:"max_open"`     // requests that a relay holds at once
	MaxRetryAfterS   float64 `json:"max_retry_after_s"`
	Gossip           bool    `json:"peers"`         // relays exchange gossip
	Probing          bool    `json:"probing"`       // relays may send health checks
	RetryAfter       bool    `json:"retry_after"`   // a rejection may carry a Retry-After
	Hedging          bool    `json:"second_copies"` // hedged requests are allowed
}

// Report describes how destinations report their load.
type Report struct {
	Columns []string `json:"columns"` // the names of the values in a load report: "x0" (the remaining part of the rate limit) and "x1" (the rate limit)
	Via     string   `json:"via"`     // "inline": a load report is a header of the response to an attempt; "off": there are no load reports
}

// Rules are the parameters of the platform's rules.
type Rules struct {
	AnswerSlackS      float64 `json:"answer_slack_s"`  // time after the deadline within which a terminal outcome is not late
	PollWithinS       float64 `json:"ask_within_s"`    // maximum time for which a relay may neither watch nor poll the endpoint list
	ColdCapacity      float64 `json:"cold_share"`      // minimum fraction of a destination's capacity right after an outage
	DrainGraceS       float64 `json:"drain_grace_s"`   // time for which a relay may still begin attempts after it is notified that an endpoint drains
	OverloadFactor    float64 `json:"overload_factor"` // a destination is overloaded by more attempts within OverloadWindowS than this factor times its capacity
	OverloadWindowS   float64 `json:"overload_for_s"`  // the period over which attempts are counted for OverloadFactor
	SlowStartTimeS    float64 `json:"ramp_time_s"`     // maximum time from the end of an outage until a destination has its full capacity
	OrderKeyCooldownS float64 `json:"order_pause_s"`   // time without attempts for an order key after an attempt whose outcome is unknown
}

// Specifics are the settings that are specific to this kind of service. The lists are indexed by kind of destination, except ZoneCost,
// which is indexed by zone.
type Specifics struct {
	MaxBatch       []int     `json:"bundle_max"`      // maximum number of requests in a batch
	WeightDecay    string    `json:"loses_worth"`     // how the priority weight decays after the latency objective: "halving" or "linear"
	MaxInFlight    int       `json:"max_calls"`       // maximum number of attempts in flight
	ZoneCost       []float64 `json:"route_fee"`       // cost of an attempt to an endpoint in each zone
	SeparateRoutes []bool    `json:"separate_routes"` // each endpoint is a separate route with its own queue and rate limit
}

// Tenant is one of the tenants that share the service.
type Tenant struct {
	Name     string  `json:"name"`
	QuotaRPS float64 `json:"quota_rps"` // the tenant's quota in requests per second, over all relays together
	Share    float64 `json:"share"`
}
