// Package scenario reads the scripts of rehearsals: who the partners are, what is sent, how clients behave, and what
// goes wrong when. It is free of sockets; draws.go draws all that is left to chance from the seed.
package scenario

import (
	"fmt"
	"slices"
	"time"

	"frostlink/internal/settings"
	"frostlink/internal/strictconfig"
)

// Version is the form of scripts that this program reads.
const Version = 1

// Scenario is a rehearsal. Times are in seconds unless a name says otherwise.
type Scenario struct {
	Version int     `toml:"version,required"`
	Name    string  `toml:"name,required"`
	About   string  `toml:"about"`
	Length  float64 `toml:"length_s,required"` // for which clients send
	Relays  int     `toml:"relays,required"`
	Seed    int64   `toml:"seed"`

	// Coordination is the service by which relays agree on the fleet's tasks.
	Coordination Coordination `toml:"coordination"`

	Relay        Relay         `toml:"relay"`
	Limits       Limits        `toml:"limits"`
	Rules        Rules         `toml:"rules"`
	Discovery    Discovery     `toml:"register"`
	Network      Network       `toml:"network"`
	LoadBalancer LoadBalancer  `toml:"front"`
	Clients      Clients       `toml:"clients"`
	Load         Load          `toml:"load"`
	LoadReport   *LoadReport   `toml:"report"`
	Classes      []Class       `toml:"class,required"`
	Tenants      []Tenant      `toml:"tenant"`
	Destinations []Destination `toml:"partner,required"`
	Faults       []Fault       `toml:"event"`
}

// Relay is what each relay is granted.
type Relay struct {
	Cores           float64 `toml:"cores"`
	MemoryMB        float64 `toml:"memory_mb"`
	Sockets         int     `toml:"sockets"`
	DiskMB          float64 `toml:"disk_mb"`
	MaxInFlight     int     `toml:"slots"` // calls out at once
	MaxHeld         int     `toml:"hold"`  // messages held
	BatchIntervalMS float64 `toml:"tick_ms"`
	ReadyWithin     float64 `toml:"ready_within_s"` // after a start; later is a crash
	// Operator is the text of the operator's file that each relay gets; {dir} in it is a folder of the relay's own.
	Operator string `toml:"operator"`
	// Redelivers says that partners take messages under ids that relays made up, as resends of undelivered ones.
	Redelivers bool `toml:"resends"`
	// Classes are those of the settings at the start; absent: all.
	Classes []string `toml:"classes"`
	// DeadLetterBacklog is how many undelivered messages lie in each relay's store before the run, none of which can have run.
	DeadLetterBacklog int `toml:"backlog"`
}

// Coordination is how many members the coordination service has; 0: there is none. {coordination} in the operator's text stands for
// the two lines that name it.
type Coordination struct {
	Members int `toml:"members"`
}

// Limits are the platform's allowances.
type Limits struct {
	MaxAttempts     int     `toml:"attempts"`
	ConnectTimeout  float64 `toml:"connect_timeout_s"`
	IdleConnTimeout float64 `toml:"conn_idle_s"`
	MaxRetryAfter   float64 `toml:"retry_after_s"` // longest that clients honour; 0: none is told
	Cancel          bool    `toml:"cancel"`
	Probing         bool    `toml:"probes"`
	Gossip          bool    `toml:"peers"`
}

// Rules are the figures of the six rules.
type Rules struct {
	AnswerSlack      float64 `toml:"answer_slack_s"` // for an end after the deadline
	PollWithin       float64 `toml:"ask_within_s"`
	DrainGrace       float64 `toml:"drain_grace_s"`
	ColdCapacity     float64 `toml:"cold_share"` // of its capacity, at least, that a partner has after an outage
	SlowStartTime    float64 `toml:"ramp_s"`     // and all of it after this at the latest
	OverloadFactor   float64 `toml:"overload_factor"`
	OverloadWindow   float64 `toml:"overload_for_s"`
	OrderKeyCooldown float64 `toml:"order_pause_s"`
}

// Discovery is the register of endpoints.
type Discovery struct {
	PublishDelay Range   `toml:"lag_s"`         // from a change to its being shown
	NotifyWithin float64 `toml:"tell_within_s"` // what is shown counts as told after this, while the register is up
}

// Network is what lies between the relays.
type Network struct {
	Delay  Range   `toml:"delay_ms"`
	Loss   float64 `toml:"loss"`   // share of datagrams
	Halved float64 `toml:"halved"` // share that arrives cut in half
}

// LoadBalancer deals clients' messages out to relays.
type LoadBalancer struct {
	DetectionDelay Range `toml:"notices_s"` // from a relay's death to the front's knowing
}

// Clients are their habits.
type Clients struct {
	Retries           int     `toml:"retries"` // after refusals
	Backoff           Range   `toml:"backoff_ms"`
	BackoffGrowth     float64 `toml:"growth"`       // of the back-off with each refusal
	HonourRetryAfter  float64 `toml:"honour"`       // share that keeps to Retry-After
	ResponseTimeoutMS float64 `toml:"answer_ms"`    // then the connection is closed
	ResubmitDelay     Range   `toml:"again_s"`      // until what a dead relay had comes to another
	BodySize          Range   `toml:"body_bytes"`   //
	MarkRetries       bool    `toml:"mark_retries"` // Client-Retry: 1
}

// Load is what is sent.
type Load struct {
	Rate        float64 `toml:"rate,required"` // messages a second
	Shape       string  `toml:"shape"`         // steady, wave or ramp
	Amplitude   float64 `toml:"swing"`         // of the rate, up and down
	Period      float64 `toml:"period_s"`      // of a wave
	BurstShare  float64 `toml:"clumps"`        // share of messages that come in clumps for one partner
	BurstLength Range   `toml:"clump_s"`       // a clump's size, in seconds of its partner's limit
}

// LoadReport is how partners tell of their load.
type LoadReport struct {
	Every Range   `toml:"every_ms"`
	Delay Range   `toml:"delay_ms"`
	Noise float64 `toml:"noise"` // standard deviation as a share
}

// Class is a class of message.
type Class struct {
	Name             string  `toml:"name,required"`
	Share            float64 `toml:"share"`
	PriorityWeight   float64 `toml:"worth"`
	LateFraction     float64 `toml:"late_share"`
	LatencyObjective float64 `toml:"aim_s,required"`
	Deadline         float64 `toml:"deadline_s,required"`
	Idempotency      string  `toml:"effect,required"` // safe, keyed or unsafe
	KeyTTL           float64 `toml:"memory_s"`        // keyed: how long partners drop a repeat
	Ordered          bool    `toml:"ordered"`         // one at a time by key
	OrderKeys        int     `toml:"keys"`            // ordered: number of different keys
	Subjects         int     `toml:"subjects"`        // number of things that messages are a status of, each overtaken by the next; 0: none
	ServiceTimeMS    float64 `toml:"service_ms,required"`
	Distribution     string  `toml:"spread"` // of the service time: exp, lognormal or fixed
	CV               float64 `toml:"cv"`     // lognormal's
	Noise            float64 `toml:"noise"`  // of one attempt against another, standard deviation as a share
}

// Tenant is one that shares the service.
type Tenant struct {
	Name              string  `toml:"name,required"`
	Share             float64 `toml:"share"`
	Quota             float64 `toml:"quota"` // messages a second; 0: no bound
	OverQuotaFraction float64 `toml:"over_share_worth"`
}

// Limit is what a partner takes from all relays together: a rate, or a count in each span.
type Limit struct {
	Rate   float64 `toml:"rate"` // calls a second
	Burst  float64 `toml:"burst"`
	Count  int     `toml:"count"`
	Window float64 `toml:"span_s"`
}

// Destination is a destination.
type Destination struct {
	Name              string  `toml:"name,required"`
	Kind              string  `toml:"kind"`
	Tenant            string  `toml:"tenant"`
	Zone              string  `toml:"site"`
	Share             float64 `toml:"share,required"` // of the traffic, against the other partners' shares
	Endpoints         int     `toml:"endpoints"`
	Concurrency       int     `toml:"slots"` // calls that an endpoint serves at once
	QueueLength       int     `toml:"queue"` // that wait there
	ServiceTimeFactor float64 `toml:"pace"`  // multiplies service times
	Limit             *Limit  `toml:"limit"`
	CountsRejected    bool    `toml:"refused_counted"`
	MaxConnections    int     `toml:"connections"` // an endpoint takes, idle ones counted; 0: any number
	RejectionInfo     string  `toml:"tells"`       // what a refusal tells: nothing, or an honest wait
	HandshakeMS       float64 `toml:"handshake_ms"`
	PauseEvery        Range   `toml:"pause_every_s"`
	Pause             Range   `toml:"pause_ms"`
	ErrorRate         float64 `toml:"error_rate"`
	CancelBehavior    string  `toml:"cancelled"` // what becomes of a cancelled call: runs-on, leaves-queue or stops
	ColdCapacity      float64 `toml:"cold_share"`
	SlowStartTime     float64 `toml:"warm_s"`
	OverloadDowntime  float64 `toml:"fallen_for_s"` // that it stays down when pushed over
}

// Fault is something that goes wrong.
type Fault struct {
	At              float64  `toml:"at_s,required"`
	Kind            string   `toml:"what,required"`
	Duration        float64  `toml:"for_s"`
	Destination     string   `toml:"partner"`
	Endpoint        int      `toml:"endpoint"` // from 1; 0: all
	Relay           int      `toml:"relay"`    // from 1; 0: all
	Relays          []int    `toml:"relays"`   // one side of a split
	Factor          float64  `toml:"factor"`
	Share           float64  `toml:"share"`
	RampTime        float64  `toml:"rise_s"`
	DrainTime       float64  `toml:"drain_s"`
	Over            float64  `toml:"over_s"`
	ReusedAddresses float64  `toml:"reused"`   // share of new endpoints at the address of one that has gone
	RestartDelay    float64  `toml:"back_s"`   // until a relay is started again
	Mode            string   `toml:"how"`      // register: 503, reset or silent
	Classes         []string `toml:"classes"`  // of the settings from then on
	MaxAttempts     int      `toml:"attempts"` // allowed from then on
	Corruption      string   `toml:"broken"`   // what is wrong with a file of settings: empty, cut, lacking or zero
	IdleCallers     int      `toml:"callers"`  // of a door that say nothing
	StaysWarm       bool     `toml:"warm"`     // an outage after which the partner is not cold
	ClockStep       float64  `toml:"by_s"`     // that a relay's wall clock is stepped, back where below 0
	Syscall         string   `toml:"call"`     // of the system calls that fail: accept, connect, socket, read, write or wait
	Errno           string   `toml:"errno"`    // with which they do, by its name, or SHORT: a part of a read or write
}

// Range is a number, or a span from which one is drawn.
type Range struct{ Low, High float64 }

// FromTOML reads a number or a list of two.
func (r *Range) FromTOML(v any) error {
	number := func(v any) (float64, bool) {
		switch n := v.(type) {
		case int64:
			return float64(n), true
		case float64:
			return n, n-n == 0 // finite
		}
		return 0, false
	}
	if n, ok := number(v); ok {
		*r = Range{n, n}
	} else if list, _ := v.([]any); len(list) == 2 {
		low, ok1 := number(list[0])
		high, ok2 := number(list[1])
		if !ok1 || !ok2 || low > high {
			return fmt.Errorf("%v is no span from a number to one no smaller", v)
		}
		*r = Range{low, high}
	} else {
		return fmt.Errorf("has to be a number, or a list of two")
	}
	if r.Low < 0 {
		return fmt.Errorf("is below 0")
	}
	return nil
}

// MeanServiceTime is the middle of a range.
func (r Range) Mean() float64 { return (r.Low + r.High) / 2 }

// defaults are what a script that is silent gets: the figures of the deployment that frostlink was built for.
func defaults() *Scenario {
	return &Scenario{
		Seed:         1,
		Relay:        Relay{Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: 3, MaxInFlight: 24, MaxHeld: 300, BatchIntervalMS: 5, ReadyWithin: 10},
		Limits:       Limits{MaxAttempts: 12, ConnectTimeout: 1, IdleConnTimeout: 10, MaxRetryAfter: 3, Cancel: true, Probing: true, Gossip: true},
		Rules:        Rules{AnswerSlack: 0.3, PollWithin: 10, DrainGrace: 1, ColdCapacity: 0.17, SlowStartTime: 11, OverloadFactor: 2.5, OverloadWindow: 1.5},
		Discovery:    Discovery{PublishDelay: Range{0.5, 3}, NotifyWithin: 6},
		Network:      Network{Delay: Range{2, 36}},
		LoadBalancer: LoadBalancer{DetectionDelay: Range{1.2, 3.6}},
		Clients: Clients{
			Retries: 2, Backoff: Range{340, 1500}, BackoffGrowth: 2, HonourRetryAfter: 0.6, ResponseTimeoutMS: 400,
			ResubmitDelay: Range{0.65, 1.9}, BodySize: Range{150, 600},
		},
		Load: Load{Shape: "steady", Period: 20, BurstLength: Range{1.2, 3.4}},
	}
}

// Read reads and checks a script. Its error is strict.Problems with all that is wrong.
func Read(path string) (*Scenario, error) {
	s := defaults()
	doc, err := strictconfig.ReadFile(path, s)
	if err != nil {
		return nil, err
	}
	return finish(s, doc)
}

// Parse reads a script from memory.
func Parse(name string, text []byte) (*Scenario, error) {
	s := defaults()
	return finish(s, strictconfig.Decode(name, text, s))
}

func finish(s *Scenario, doc *strictconfig.Document) (*Scenario, error) {
	s.fill(doc)
	s.check(doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// fill gives the elements of lists their defaults.
func (s *Scenario) fill(doc *strictconfig.Document) {
	for i := range s.Classes {
		c, at := &s.Classes[i], fmt.Sprintf("class[%d].", i+1)
		orElse(doc, at+"share", &c.Share, 1)
		orElse(doc, at+"worth", &c.PriorityWeight, 1)
		orElse(doc, at+"spread", &c.Distribution, "exp")
		orElse(doc, at+"cv", &c.CV, 1)
		if c.Ordered {
			orElse(doc, at+"keys", &c.OrderKeys, 100)
		}
	}
	for i := range s.Tenants {
		t, at := &s.Tenants[i], fmt.Sprintf("tenant[%d].", i+1)
		orElse(doc, at+"share", &t.Share, 1)
		orElse(doc, at+"over_share_worth", &t.OverQuotaFraction, 0.2)
	}
	for i := range s.Destinations {
		p, at := &s.Destinations[i], fmt.Sprintf("partner[%d].", i+1)
		orElse(doc, at+"kind", &p.Kind, "partner")
		orElse(doc, at+"site", &p.Zone, "a")
		orElse(doc, at+"endpoints", &p.Endpoints, 1)
		orElse(doc, at+"slots", &p.Concurrency, 4)
		orElse(doc, at+"queue", &p.QueueLength, 8)
		orElse(doc, at+"pace", &p.ServiceTimeFactor, 1)
		orElse(doc, at+"tells", &p.RejectionInfo, "nothing")
		orElse(doc, at+"cancelled", &p.CancelBehavior, "runs-on")
		orElse(doc, at+"cold_share", &p.ColdCapacity, s.Rules.ColdCapacity)
		orElse(doc, at+"warm_s", &p.SlowStartTime, s.Rules.SlowStartTime)
		orElse(doc, at+"fallen_for_s", &p.OverloadDowntime, 15)
		if p.Limit != nil && p.Limit.Rate > 0 {
			orElse(doc, at+"limit.burst", &p.Limit.Burst, max(1, p.Limit.Rate/2))
		}
	}
	for i := range s.Faults {
		e, at := &s.Faults[i], fmt.Sprintf("event[%d].", i+1)
		switch e.Kind {
		case "replace", "drain":
			orElse(doc, at+"drain_s", &e.DrainTime, 3)
		case "kill", "term", "lose":
			orElse(doc, at+"back_s", &e.RestartDelay, 0.6)
		case "register":
			orElse(doc, at+"how", &e.Mode, "503")
		}
	}
}

func orElse[T any](doc *strictconfig.Document, key string, v *T, other T) {
	if !doc.Has(key) {
		*v = other
	}
}

// Seconds turns a figure in seconds into a duration.
func Seconds(v float64) time.Duration { return settings.Seconds(v) }

// Milliseconds turns a figure in milliseconds into a duration.
func Milliseconds(v float64) time.Duration { return settings.Seconds(v / 1000) }

// MeanServiceTime is the mean service time of a partner's calls in seconds, over all classes, when it is well.
func (s *Scenario) MeanServiceTime(p *Destination) float64 {
	sum, shares := 0.0, 0.0
	for _, c := range s.Classes {
		sum += c.Share * c.ServiceTimeMS / 1000
		shares += c.Share
	}
	return sum / shares * p.ServiceTimeFactor
}

// Capacity is how many calls a second a partner's endpoints serve when all are well.
func (s *Scenario) Capacity(p *Destination) float64 {
	return float64(p.Endpoints*p.Concurrency) / s.MeanServiceTime(p)
}

// AdmittedRate is what a partner's limit lets through, in calls a second, or its capacity where that is less.
func (s *Scenario) AdmittedRate(p *Destination) float64 {
	capacity := s.Capacity(p)
	if p.Limit == nil {
		return capacity
	}
	return min(capacity, p.Limit.PerSecond())
}

// PerSecond is a limit in calls a second.
func (l *Limit) PerSecond() float64 {
	if l.Rate > 0 {
		return l.Rate
	}
	return float64(l.Count) / l.Window
}

// effects are the names of effects in a script and in the settings object.
var effects = map[string]string{"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}

// ReloadableSettings are what settings may change while relays run.
type ReloadableSettings struct {
	Classes     []string // nil: all
	MaxAttempts int
}

// settleTime after a file with a class relays are to have it, and removeAhead before one without it clients use it no more.
const settleTime, removeAhead = 1.3, 0.2

// InitialSettings are the terms that relays start with.
func (s *Scenario) InitialSettings() ReloadableSettings {
	return ReloadableSettings{s.Relay.Classes, s.Limits.MaxAttempts}
}

// With gives the terms after an event of new settings.
func (t ReloadableSettings) With(e *Fault) ReloadableSettings {
	if e.Classes != nil {
		t.Classes = e.Classes
	}
	if e.MaxAttempts > 0 {
		t.MaxAttempts = e.MaxAttempts
	}
	return t
}

// has tells whether a class is among the terms.
func (t ReloadableSettings) has(class string) bool {
	return t.Classes == nil || slices.Contains(t.Classes, class)
}

// IsOffered tells whether clients use a class at a time, in seconds.
func (s *Scenario) IsOffered(class string, at float64) bool {
	had, will := s.InitialSettings(), s.InitialSettings()
	for i := range s.Faults { // in the order of their times, or the check has turned the script down
		e := &s.Faults[i]
		if e.Kind != "settings" || e.Corruption != "" {
			continue
		}
		if e.At+settleTime <= at {
			had = had.With(e)
		}
		if e.At-removeAhead <= at {
			will = will.With(e)
		}
	}
	return had.has(class) && will.has(class)
}

// RelaySettings gives the settings object of a relay, numbered from 0, with all classes.
func (s *Scenario) RelaySettings(relay int) settings.Settings {
	return s.RelaySettingsWith(relay, ReloadableSettings{MaxAttempts: s.Limits.MaxAttempts})
}

// RelaySettingsWith gives it under given terms.
func (s *Scenario) RelaySettingsWith(relay int, terms ReloadableSettings) settings.Settings {
	out := settings.Settings{
		Discovery: "subscribe", Instances: s.Relays, Ordinal: relay, BatchIntervalS: s.Relay.BatchIntervalMS / 1000, Weights: "nominal",
		Limits: settings.Limits{
			Cancel: s.Limits.Cancel, IdleConnTimeoutS: s.Limits.IdleConnTimeout,
			ConnectTimeoutS: s.Limits.ConnectTimeout, MaxAttempts: terms.MaxAttempts, MaxHeld: s.Relay.MaxHeld,
			MaxRetryAfterS: s.Limits.MaxRetryAfter, Gossip: s.Limits.Gossip, Probing: s.Limits.Probing,
			RetryAfter: s.Limits.MaxRetryAfter > 0,
		},
		Rules: settings.Rules{
			AnswerSlackS: s.Rules.AnswerSlack, PollWithinS: s.Rules.PollWithin,
			ColdCapacity: s.Rules.ColdCapacity, DrainGraceS: s.Rules.DrainGrace, OverloadFactor: s.Rules.OverloadFactor,
			OverloadWindowS: s.Rules.OverloadWindow, SlowStartTimeS: s.Rules.SlowStartTime, OrderKeyCooldownS: s.Rules.OrderKeyCooldown,
		},
		Report:    settings.Report{Columns: []string{}, Via: "off"},
		Specifics: settings.Specifics{WeightDecay: "linear", MaxInFlight: s.Relay.MaxInFlight},
	}
	if s.LoadReport != nil {
		out.Report = settings.Report{Columns: []string{"x0", "x1"}, Via: "inline"}
	}
	for _, c := range s.Classes {
		if !terms.has(c.Name) {
			continue
		}
		out.Classes = append(out.Classes, settings.Class{
			Name: c.Name, LatencyObjectiveS: c.LatencyObjective, DeadlineS: c.Deadline,
			Idempotency: effects[c.Idempotency], KeyScope: "all", Ordered: c.Ordered, LateFraction: c.LateFraction,
			KeyTTLS: c.KeyTTL, PriorityWeight: c.PriorityWeight,
		})
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, settings.Tenant{Name: t.Name, QuotaRPS: t.Quota, Share: t.Share})
		out.OverQuotaFraction = t.OverQuotaFraction
	}
	for _, kind := range s.Kinds() {
		out.DestinationKinds = append(out.DestinationKinds, kind)
		out.Specifics.MaxBatch = append(out.Specifics.MaxBatch, 1)
		out.Specifics.SeparateRoutes = append(out.Specifics.SeparateRoutes, false)
	}
	for _, site := range s.Zones() {
		out.Zones = append(out.Zones, site)
		out.Specifics.ZoneCost = append(out.Specifics.ZoneCost, 0)
	}
	return out
}

// Upgrades tells whether processes are replaced.
func (s *Scenario) Upgrades() bool { return s.has("upgrade") }

// StepsClocks tells whether relays' wall clocks are stepped.
func (s *Scenario) StepsClocks() bool { return s.has(clockStep) }

// FailsSyscalls tells whether relays' system calls are made to fail.
func (s *Scenario) FailsSyscalls() bool { return s.has(syscallErrors) || s.has(diskErrors) }

func (s *Scenario) has(what string) bool {
	return slices.ContainsFunc(s.Faults, func(e Fault) bool { return e.Kind == what })
}

// Kinds are the kinds of partners, in the script's order.
func (s *Scenario) Kinds() []string { return s.distinct(func(p *Destination) string { return p.Kind }) }

// Zones are the sites of partners, in the script's order.
func (s *Scenario) Zones() []string { return s.distinct(func(p *Destination) string { return p.Zone }) }

func (s *Scenario) distinct(of func(*Destination) string) []string {
	var names []string
	seen := map[string]bool{}
	for i := range s.Destinations {
		if name := of(&s.Destinations[i]); !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	return names
}
