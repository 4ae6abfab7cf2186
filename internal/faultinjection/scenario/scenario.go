package scenario

// Version is the version of the file format that this package reads.
const Version = 1

// Scenario is a scenario file. Times are in seconds unless a name says otherwise.
type Scenario struct {
	Version int     `toml:"version,required"`
	Name    string  `toml:"name,required"`
	About   string  `toml:"about"`
	Length  float64 `toml:"length_s,required"` // how long clients send
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

// Coordination is the service by which relays agree on the fleet's tasks. The text "{coordination}" in [Relay].Operator stands for the
// two lines that configure it.
type Coordination struct {
	Members int `toml:"members"` // 0: there is no such service
}

// Relay is what each relay is granted and configured with.
type Relay struct {
	Cores           float64 `toml:"cores"`
	MemoryMB        float64 `toml:"memory_mb"`
	Sockets         int     `toml:"sockets"`
	DiskMB          float64 `toml:"disk_mb"`
	MaxInFlight     int     `toml:"slots"` // attempts at once
	MaxHeld         int     `toml:"hold"`  // requests held
	BatchIntervalMS float64 `toml:"tick_ms"`
	ReadyWithin     float64 `toml:"ready_within_s"` // after a start; a relay that takes longer counts as crashed

	// Operator is the text of the operator's file of each relay. The text "{dir}" in it stands for a folder of the relay's own.
	Operator string `toml:"operator"`
	// Redelivers means that destinations accept requests under ids that relays made up, as redeliveries of dead letters.
	Redelivers bool `toml:"resends"`
	// Classes are the classes of the settings at the start; nil: all.
	Classes []string `toml:"classes"`
	// DeadLetterBacklog is the number of messages in each relay's dead-letter store before the run. None of them was executed.
	DeadLetterBacklog int `toml:"backlog"`
}

// Limits are the platform's allowances.
type Limits struct {
	MaxAttempts     int     `toml:"attempts"` // of one request
	ConnectTimeout  float64 `toml:"connect_timeout_s"`
	IdleConnTimeout float64 `toml:"conn_idle_s"`
	MaxRetryAfter   float64 `toml:"retry_after_s"` // the longest that clients honour; 0: relays send no Retry-After
	Cancel          bool    `toml:"cancel"`        // relays may cancel attempts
	Probing         bool    `toml:"probes"`        // relays may send health checks
	Gossip          bool    `toml:"peers"`         // relays exchange gossip
}

// Rules are the parameters of the platform's six rules.
type Rules struct {
	AnswerSlack      float64 `toml:"answer_slack_s"` // for a terminal outcome after the deadline
	PollWithin       float64 `toml:"ask_within_s"`
	DrainGrace       float64 `toml:"drain_grace_s"`
	ColdCapacity     float64 `toml:"cold_share"` // fraction of its capacity that a destination has at least after an outage
	SlowStartTime    float64 `toml:"ramp_s"`     // after which it has all of its capacity at the latest
	OverloadFactor   float64 `toml:"overload_factor"`
	OverloadWindow   float64 `toml:"overload_for_s"`
	OrderKeyCooldown float64 `toml:"order_pause_s"`
}

// Discovery is the service that publishes the endpoints of destinations.
type Discovery struct {
	PublishDelay Range   `toml:"lag_s"`         // from a change to its publication
	NotifyWithin float64 `toml:"tell_within_s"` // after publication, relays count as notified while discovery is up
}

// Network is the network between relays.
type Network struct {
	Delay  Range   `toml:"delay_ms"`
	Loss   float64 `toml:"loss"`   // fraction of datagrams lost
	Halved float64 `toml:"halved"` // fraction of datagrams truncated to half
}

// LoadBalancer spreads clients' messages over relays.
type LoadBalancer struct {
	DetectionDelay Range `toml:"notices_s"` // from a relay's death to its removal
}

// LoadReport is how destinations report their load.
type LoadReport struct {
	Every Range   `toml:"every_ms"`
	Delay Range   `toml:"delay_ms"`
	Noise float64 `toml:"noise"` // standard deviation relative to the value
}
