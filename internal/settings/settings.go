// Package settings decodes the settings object that an instance gets at its start, from the simulator's wire
// or from the configuration of a real relay, and translates it into the terms of package policy.
package settings

import (
	"fmt"
	"math"
	"time"

	"frostlink/policy"
)

// Settings are the start-up parameters that the module and the relay need, named as in the object, and those by
// which a rehearsal judges the rules.
type Settings struct {
	Az         int        `json:"az"`
	Categories []Category `json:"categories"`
	Discovery  string     `json:"discovery"`
	Limits     Limits     `json:"limits"`
	Localities []string   `json:"localities"`
	NInstances int        `json:"n_instances"`
	Ordinal    int        `json:"ordinal"`
	OverShare  float64    `json:"over_share_worth"` // part of a message's worth left beyond its tenant's share
	QuantumS   float64    `json:"quantum_s"`
	Report     Report     `json:"report"`
	Rules      Rules      `json:"rules"`
	Shapes     []string   `json:"shapes"`
	Specifics  Specifics  `json:"specifics"`
	Tenants    []Tenant   `json:"tenants"`
	Weights    string     `json:"weights"`
}

// Category is one class of message.
type Category struct {
	Name        string  `json:"name"`
	AimS        float64 `json:"aim_s"`
	DeadlineS   float64 `json:"deadline_s"`
	Idempotency string  `json:"idempotency"`
	Group       string  `json:"group"`
	FifoByKey   bool    `json:"fifo_by_key"`
	LateShare   float64 `json:"late_share"`
	MemorySpanS float64 `json:"memory_span_s"`
	Points      float64 `json:"points"`
}

// Limits are what is allowed.
type Limits struct {
	Cancel         bool    `json:"cancel"`
	ConnIdleS      float64 `json:"conn_idle_s"`
	ConnTimeoutS   float64 `json:"connect_timeout_s"`
	MaxAttempts    int     `json:"max_attempts"`
	MaxOpen        int     `json:"max_open"`
	MaxRetryAfterS float64 `json:"max_retry_after_s"`
	Peers          bool    `json:"peers"`
	Probing        bool    `json:"probing"`
	RetryAfter     bool    `json:"retry_after"`
	SecondCopies   bool    `json:"second_copies"`
}

// Report says how destinations tell of their load.
type Report struct {
	Columns []string `json:"columns"`
	Via     string   `json:"via"`
}

// Rules are the figures of the six rules.
type Rules struct {
	AnswerSlackS   float64 `json:"answer_slack_s"`
	AskWithinS     float64 `json:"ask_within_s"`
	ColdShare      float64 `json:"cold_share"`
	DrainGraceS    float64 `json:"drain_grace_s"`
	OverloadFactor float64 `json:"overload_factor"`
	OverloadForS   float64 `json:"overload_for_s"`
	RampTimeS      float64 `json:"ramp_time_s"`
	OrderPauseS    float64 `json:"order_pause_s"`
}

// Specifics are what belongs to this kind of service.
type Specifics struct {
	BundleMax      []int     `json:"bundle_max"`
	LosesWorth     string    `json:"loses_worth"`
	MaxCalls       int       `json:"max_calls"`
	RouteFee       []float64 `json:"route_fee"`
	SeparateRoutes []bool    `json:"separate_routes"`
}

// Tenant is one that shares the service.
type Tenant struct {
	Name     string  `json:"name"`
	QuotaRPS float64 `json:"quota_rps"` // messages a second, for all relays together, within its share
	Share    float64 `json:"share"`
}

var (
	effects = map[string]policy.Idempotency{"retryable": policy.Idempotent, "dedup": policy.IdempotentByKey, "fragile": policy.NotIdempotent}
	weights = map[string]policy.Weights{
		"off": policy.WeightsOff, "nominal": policy.WeightsNominal,
		"rough": policy.WeightsRough,
	}
)

// Policy translates the settings into the policy's terms.
func (s *Settings) Policy() (policy.Settings, error) {
	p := policy.Settings{
		Instances: s.NInstances, Zone: s.Az, ZoneCost: s.Specifics.RouteFee, MaxInFlight: s.Specifics.MaxCalls,
		MaxQueued: s.Limits.MaxOpen, MaxAttempts: s.Limits.MaxAttempts, Hedging: s.Limits.SecondCopies,
		CanCancel:     s.Limits.Cancel,
		BatchInterval: Seconds(s.QuantumS),
		ColdCapacity:  s.Rules.ColdShare, SlowStartTime: Seconds(s.Rules.RampTimeS),
		OverloadFactor: s.Rules.OverloadFactor, OverloadWindow: Seconds(s.Rules.OverloadForS),
		OrderKeyCooldown: Seconds(s.Rules.OrderPauseS), IdleConnTimeout: Seconds(s.Limits.ConnIdleS),
	}
	if s.Limits.RetryAfter {
		p.MaxRetryAfter = Seconds(s.Limits.MaxRetryAfterS)
	}
	switch s.Discovery {
	case "subscribe":
		p.WatchEndpoints = true
	case "automatic":
	default:
		return p, fmt.Errorf("settings: discovery: unknown mode %q", s.Discovery)
	}
	var ok bool
	if p.Weights, ok = weights[s.Weights]; !ok {
		return p, fmt.Errorf("settings: weights: unknown meaning %q", s.Weights)
	}
	if err := s.check(); err != nil {
		return p, err
	}
	for i, c := range s.Categories {
		effect, ok := effects[c.Idempotency]
		if !ok {
			return p, fmt.Errorf("settings: categories[%d].idempotency: unknown effect %q", i, c.Idempotency)
		}
		p.Classes = append(p.Classes, policy.Class{
			Name: c.Name, LatencyObjective: Seconds(c.AimS),
			Deadline: Seconds(c.DeadlineS), PriorityWeight: c.Points, LateFraction: c.LateShare,
			ExponentialDecay: s.Specifics.LosesWorth == "halving", Idempotency: effect, KeyPerZone: c.Group != "all",
			KeyTTL: Seconds(c.MemorySpanS), Ordered: c.FifoByKey,
		})
	}
	for i := range s.Shapes {
		k := policy.DestinationKind{MaxBatch: 1}
		if i < len(s.Specifics.BundleMax) {
			k.MaxBatch = s.Specifics.BundleMax[i]
		}
		if i < len(s.Specifics.SeparateRoutes) {
			k.SeparateRoutes = s.Specifics.SeparateRoutes[i]
		}
		p.Kinds = append(p.Kinds, k)
	}
	return p, nil
}

// Bounds of what settings may say: beyond them a number is a mistake, and times would not fit a duration.
const (
	mostSeconds = 24 * 3600
	mostCount   = 10_000_000
)

// check names the first value that makes no sense.
func (s *Settings) check() error {
	names := map[string]bool{}
	for i, c := range s.Categories {
		at := fmt.Sprintf("settings: categories[%d]", i)
		switch {
		case c.Name != "" && names[c.Name]:
			return fmt.Errorf("%s.name: %q is there twice", at, c.Name)
		case !(c.DeadlineS > 0 && c.DeadlineS <= mostSeconds):
			return fmt.Errorf("%s.deadline_s: %v is not above 0 and up to a day", at, c.DeadlineS)
		case !(c.AimS >= 0 && c.AimS <= mostSeconds):
			return fmt.Errorf("%s.aim_s: %v is not from 0 to a day", at, c.AimS)
		case !(c.MemorySpanS >= 0 && c.MemorySpanS <= mostSeconds):
			return fmt.Errorf("%s.memory_span_s: %v is not from 0 to a day", at, c.MemorySpanS)
		case !(c.Points >= 0) || math.IsInf(c.Points, 0):
			return fmt.Errorf("%s.points: %v is negative or no number", at, c.Points)
		case !(c.LateShare >= 0 && c.LateShare <= 1):
			return fmt.Errorf("%s.late_share: %v is not from 0 to 1", at, c.LateShare)
		}
		names[c.Name] = true
	}
	for _, n := range []struct {
		key   string
		value int
	}{{"limits.max_attempts", s.Limits.MaxAttempts}, {"limits.max_open", s.Limits.MaxOpen}, {"specifics.max_calls", s.Specifics.MaxCalls}} {
		if n.value < 1 || n.value > mostCount {
			return fmt.Errorf("settings: %s: %d is not from 1 to %d", n.key, n.value, mostCount)
		}
	}
	return nil
}

// Seconds gives a number of seconds as a duration.
func Seconds(v float64) time.Duration {
	return time.Duration(math.Round(v * float64(time.Second)))
}
