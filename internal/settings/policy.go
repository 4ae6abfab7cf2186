package settings

import (
	"math"
	"time"

	"frostlink/policy"
)

// The meanings of the strings that the object may contain. Validate rejects any other string.
var (
	watchesEndpoints  = map[string]bool{"subscribe": true, "automatic": false} // keyed by discovery mode
	idempotencyByWord = map[string]policy.Idempotency{"retryable": policy.Idempotent, "dedup": policy.IdempotentByKey, "fragile": policy.NotIdempotent}
	weightsByWord     = map[string]policy.Weights{"off": policy.WeightsOff, "nominal": policy.WeightsNominal, "rough": policy.WeightsApproximate}
)

const (
	exponentialDecay = "halving" // a value of Specifics.WeightDecay
	allZones         = "all"     // a value of Class.KeyScope
)

// Policy validates the settings and translates them into policy.Settings. If they are invalid, it returns the error of Validate.
func (s *Settings) Policy() (policy.Settings, error) {
	if err := s.Validate(); err != nil {
		return policy.Settings{}, err
	}
	p := policy.Settings{
		Instances:        s.Instances,
		Zone:             s.Zone,
		ZoneCost:         s.Specifics.ZoneCost,
		Weights:          weightsByWord[s.Weights],
		WatchEndpoints:   watchesEndpoints[s.Discovery],
		BatchInterval:    Seconds(s.BatchIntervalS),
		MaxInFlight:      s.Specifics.MaxInFlight,
		MaxQueued:        s.Limits.MaxHeld,
		MaxAttempts:      s.Limits.MaxAttempts,
		Hedging:          s.Limits.Hedging,
		CanCancel:        s.Limits.Cancel,
		IdleConnTimeout:  Seconds(s.Limits.IdleConnTimeoutS),
		ColdCapacity:     s.Rules.ColdCapacity,
		SlowStartTime:    Seconds(s.Rules.SlowStartTimeS),
		OverloadFactor:   s.Rules.OverloadFactor,
		OverloadWindow:   Seconds(s.Rules.OverloadWindowS),
		OrderKeyCooldown: Seconds(s.Rules.OrderKeyCooldownS),
	}
	if s.Limits.RetryAfter {
		p.MaxRetryAfter = Seconds(s.Limits.MaxRetryAfterS)
	}
	for i := range s.Classes {
		p.Classes = append(p.Classes, s.class(&s.Classes[i]))
	}
	for i := range s.DestinationKinds {
		p.Kinds = append(p.Kinds, s.Specifics.kind(i))
	}
	return p, nil
}

// class translates a class of requests that has passed validation.
func (s *Settings) class(c *Class) policy.Class {
	return policy.Class{
		Name:             c.Name,
		LatencyObjective: Seconds(c.LatencyObjectiveS),
		Deadline:         Seconds(c.DeadlineS),
		PriorityWeight:   c.PriorityWeight,
		LateFraction:     c.LateFraction,
		ExponentialDecay: s.Specifics.WeightDecay == exponentialDecay,
		Idempotency:      idempotencyByWord[c.Idempotency],
		KeyPerZone:       c.KeyScope != allZones,
		KeyTTL:           Seconds(c.KeyTTLS),
		Ordered:          c.Ordered,
	}
}

// kind returns the kind of destination at index i of Settings.DestinationKinds. The lists in Specifics may be shorter than that list.
func (s *Specifics) kind(i int) policy.DestinationKind {
	k := policy.DestinationKind{MaxBatch: 1}
	if i < len(s.MaxBatch) {
		k.MaxBatch = s.MaxBatch[i]
	}
	if i < len(s.SeparateRoutes) {
		k.SeparateRoutes = s.SeparateRoutes[i]
	}
	return k
}

// Seconds converts a number of seconds to a duration, rounded to the nanosecond.
func Seconds(v float64) time.Duration {
	return time.Duration(math.Round(v * float64(time.Second)))
}
