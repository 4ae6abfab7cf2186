package settings

// Settings are the parameters that a relay starts with, and those by which a fault injection run judges it.
type Settings struct {
	Zone              int       `json:"az"`         // the zone that the relay is in, an index of Localities
	Classes           []Class   `json:"categories"` // the classes of request
	Discovery         string    `json:"discovery"`  // "subscribe": the relay asks for a watch; "automatic": the list comes by itself
	Limits            Limits    `json:"limits"`
	Zones             []string  `json:"localities"`       // the zones
	Instances         int       `json:"n_instances"`      // relays in the fleet
	Ordinal           int       `json:"ordinal"`          // this relay's number among them
	OverQuotaFraction float64   `json:"over_share_worth"` // fraction of the priority weight that a request beyond its tenant's quota has
	BatchIntervalS    float64   `json:"quantum_s"`        // the shortest time between two batches of events
	Report            Report    `json:"report"`
	Rules             Rules     `json:"rules"`
	DestinationKinds  []string  `json:"shapes"` // the kinds of destination
	Specifics         Specifics `json:"specifics"`
	Tenants           []Tenant  `json:"tenants"`
	Weights           string    `json:"weights"` // what endpoints' weights mean: "off", "nominal" or "rough"
}

// Class is a class of request.
type Class struct {
	Name              string  `json:"name"`
	LatencyObjectiveS float64 `json:"aim_s"`         // latency objective
	DeadlineS         float64 `json:"deadline_s"`    // after which a delivery is of no use
	Idempotency       string  `json:"idempotency"`   // "retryable": idempotent; "dedup": idempotent by key; "fragile": not
	KeyScope          string  `json:"group"`         // for "dedup", the endpoints of a destination that share their keys: "all", or those of one zone
	Ordered           bool    `json:"fifo_by_key"`   // requests with one order key are delivered one after the other
	LateFraction      float64 `json:"late_share"`    // fraction of the priority weight that is left at the deadline
	KeyTTLS           float64 `json:"memory_span_s"` // how long a destination remembers a key
	PriorityWeight    float64 `json:"points"`        // priority weight
}

// Limits are what the platform allows.
type Limits struct {
	Cancel           bool    `json:"cancel"` // attempts can be cancelled
	IdleConnTimeoutS float64 `json:"conn_idle_s"`
	ConnectTimeoutS  float64 `json:"connect_timeout_s"`
	MaxAttempts      int     `json:"max_attempts"` // of one request
	MaxHeld          int     `json:"max_open"`     // requests that a relay holds
	MaxRetryAfterS   float64 `json:"max_retry_after_s"`
	Gossip           bool    `json:"peers"` // relays exchange gossip
	Probing          bool    `json:"probing"`
	RetryAfter       bool    `json:"retry_after"`   // a rejection may carry a Retry-After
	Hedging          bool    `json:"second_copies"` // hedged requests are allowed
}

// Report says how destinations report their load.
type Report struct {
	Columns []string `json:"columns"`
	Via     string   `json:"via"`
}

// Rules are the parameters of the platform's rules.
type Rules struct {
	AnswerSlackS      float64 `json:"answer_slack_s"`
	PollWithinS       float64 `json:"ask_within_s"`
	ColdCapacity      float64 `json:"cold_share"` // fraction of its capacity that a destination has at least after an outage
	DrainGraceS       float64 `json:"drain_grace_s"`
	OverloadFactor    float64 `json:"overload_factor"`
	OverloadWindowS   float64 `json:"overload_for_s"`
	SlowStartTimeS    float64 `json:"ramp_time_s"`   // after an outage, until a destination has its whole capacity at the latest
	OrderKeyCooldownS float64 `json:"order_pause_s"` // for which an order key rests after an attempt whose outcome is unknown
}

// Specifics are what belongs to this kind of service. The lists are by kind of destination, but RouteFee, which is by zone.
type Specifics struct {
	MaxBatch       []int     `json:"bundle_max"`  // requests in a batch at most
	WeightDecay    string    `json:"loses_worth"` // how the priority weight falls after the latency objective: "halving" or "linear"
	MaxInFlight    int       `json:"max_calls"`   // attempts in flight at most
	ZoneCost       []float64 `json:"route_fee"`   // cost of an attempt into each zone
	SeparateRoutes []bool    `json:"separate_routes"`
}

// Tenant is one that shares the service.
type Tenant struct {
	Name     string  `json:"name"`
	QuotaRPS float64 `json:"quota_rps"` // requests a second within its quota, for all relays together
	Share    float64 `json:"share"`
}
