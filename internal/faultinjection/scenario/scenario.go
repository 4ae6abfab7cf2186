package scenario

// Version is the version of the file format that this package reads.
const Version = 1

// Scenario is the content of a scenario file. Times are in seconds unless the name of a field or key states another unit.
type Scenario struct {
	Version int     `toml:"version,required"`
	Name    string  `toml:"name,required"`
	About   string  `toml:"about"`
	Length  float64 `toml:"length_s,required"` // time during which clients send messages
	Relays  int     `toml:"relays,required"`
	Seed    int64   `toml:"seed"`

	Coordination Coordination  `toml:"coordination"`
	Relay        Relay         `toml:"relay"`
	Limits       Limits        `toml:"limits"`
	Rules        Rules         `toml:"rules"`
	Discovery    Discovery     `toml:"register"`
	Network      Network       `toml:"network"`
	LoadBalancer LoadBalancer  `toml:"front"`
	Clients      Clients       `toml:"clients"`
	Load         Load          `toml:"load"`
	LoadReport   *LoadReport   `toml:"report"` // nil: destinations report no load
	Classes      []Class       `toml:"class,required"`
	Tenants      []Tenant      `toml:"tenant"`
	Destinations []Destination `toml:"partner,required"`
	Faults       []Fault       `toml:"event"`
}

// Coordination is the service that relays use to coordinate fleet tasks. The placeholder "{coordination}" in [Relay].Operator is
// replaced by the two lines that configure it.
type Coordination struct {
	Members int `toml:"members"` // 0: no coordination service
}

// Relay holds the resources and the configuration of each relay.
type Relay struct {
	Cores           float64 `toml:"cores"`
	MemoryMB        float64 `toml:"memory_mb"`
	Sockets         int     `toml:"sockets"`
	DiskMB          float64 `toml:"disk_mb"`
	MaxInFlight     int     `toml:"slots"` // attempts at the same time
	MaxHeld         int     `toml:"hold"`  // requests that a relay holds at the same time
	BatchIntervalMS float64 `toml:"tick_ms"`
	ReadyWithin     float64 `toml:"ready_within_s"` // time after its start within which a relay must be ready; otherwise the run fails

	// Operator is the text of the operator's file of each relay. The placeholder "{dir}" is replaced by the path of the relay's own folder.
	Operator string `toml:"operator"`
	// Redelivers means that destinations accept requests under ids that relays generate for redeliveries of dead letters.
	Redelivers bool `toml:"resends"`
	// Classes are the classes in the settings at the start of the run; nil: all.
	Classes []string `toml:"classes"`
	// DeadLetterBacklog is the number of messages in each relay's dead-letter store before the run. None of them has been executed.
	DeadLetterBacklog int `toml:"backlog"`
}

// Limits are the limits that the platform sets for relays, and the features that it allows them to use.
type Limits struct {
	MaxAttempts     int     `toml:"attempts"` // maximum for one request
	ConnectTimeout  float64 `toml:"connect_timeout_s"`
	IdleConnTimeout float64 `toml:"conn_idle_s"`
	MaxRetryAfter   float64 `toml:"retry_after_s"` // the longest Retry-After that clients honour; 0: relays send none
	Cancel          bool    `toml:"cancel"`        // relays may cancel attempts
	Probing         bool    `toml:"probes"`        // relays may send health checks
	Gossip          bool    `toml:"peers"`         // relays exchange gossip
}

// Rules are the parameters of the six rules of the platform.
type Rules struct {
	AnswerSlack      float64 `toml:"answer_slack_s"` // time after the deadline within which a terminal outcome is not late
	PollWithin       float64 `toml:"ask_within_s"`
	DrainGrace       float64 `toml:"drain_grace_s"`
	ColdCapacity     float64 `toml:"cold_share"` // lower bound of the fraction of its capacity that a destination has right after an outage
	SlowStartTime    float64 `toml:"ramp_s"`     // upper bound of the time after an outage until a destination has its full capacity
	OverloadFactor   float64 `toml:"overload_factor"`
	OverloadWindow   float64 `toml:"overload_for_s"`
	OrderKeyCooldown float64 `toml:"order_pause_s"`
}

// Discovery is the service that publishes the endpoints of destinations.
type Discovery struct {
	PublishDelay Range   `toml:"lag_s"`         // time from a change to its publication
	NotifyWithin float64 `toml:"tell_within_s"` // while discovery is up, relays count as notified this long after publication
}

// Network is the network between relays.
type Network struct {
	Delay  Range   `toml:"delay_ms"`
	Loss   float64 `toml:"loss"`   // fraction of datagrams lost
	Halved float64 `toml:"halved"` // fraction of datagrams truncated to half
}

// LoadBalancer distributes the messages of clients among relays.
type LoadBalancer struct {
	DetectionDelay Range `toml:"notices_s"` // time from the end of a relay's process until the load balancer removes the relay
}

// LoadReport defines how destinations report their load.
type LoadReport struct {
	Every Range   `toml:"every_ms"`
	Delay Range   `toml:"delay_ms"`
	Noise float64 `toml:"noise"` // standard deviation as a fraction of the value
}
