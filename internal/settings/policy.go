package settings

import (
	"math"
	"time"

	"frostlink/policy"
)

// The meanings of the object's words. A word that is not here is rejected by Validate.
var (
	watchesEndpoints  = map[string]bool{"subscribe": true, "automatic": false} // by discovery mode
	idempotencyByWord = map[string]policy.Idempotency{"retryable": policy.Idempotent, "dedup": policy.IdempotentByKey, "fragile": policy.NotIdempotent}
	weightsByWord     = map[string]policy.Weights{"off": policy.WeightsOff, "nominal": policy.WeightsNominal, "rough": policy.WeightsRough}
)

const (
	exponentialDecay = "halving" // Specifics.LosesWorth
	allZones         = "all"     // Category.Group
)

// Policy returns the settings in the policy's terms, or the error of Validate.
func (s *Settings) Policy() (policy.Settings, error) {
	if err := s.Validate(); err != nil {
		return policy.Settings{}, err
	}
	p := policy.Settings{
		Instances:        s.NInstances,
		Zone:             s.Az,
		ZoneCost:         s.Specifics.RouteFee,
		Weights:          weightsByWord[s.Weights],
		WatchEndpoints:   watchesEndpoints[s.Discovery],
		BatchInterval:    Seconds(s.QuantumS),
		MaxInFlight:      s.Specifics.MaxCalls,
		MaxQueued:        s.Limits.MaxOpen,
		MaxAttempts:      s.Limits.MaxAttempts,
		Hedging:          s.Limits.SecondCopies,
		CanCancel:        s.Limits.Cancel,
		IdleConnTimeout:  Seconds(s.Limits.ConnIdleS),
		ColdCapacity:     s.Rules.ColdShare,
		SlowStartTime:    Seconds(s.Rules.RampTimeS),
		OverloadFactor:   s.Rules.OverloadFactor,
		OverloadWindow:   Seconds(s.Rules.OverloadForS),
		OrderKeyCooldown: Seconds(s.Rules.OrderPauseS),
	}
	if s.Limits.RetryAfter {
		p.MaxRetryAfter = Seconds(s.Limits.MaxRetryAfterS)
	}
	for i := range s.Categories {
		p.Classes = append(p.Classes, s.class(&s.Categories[i]))
	}
	for i := range s.Shapes {
		p.Kinds = append(p.Kinds, s.Specifics.kind(i))
	}
	return p, nil
}

// class translates a category that Validate has passed.
func (s *Settings) class(c *Category) policy.Class {
	return policy.Class{
		Name:             c.Name,
		LatencyObjective: Seconds(c.AimS),
		Deadline:         Seconds(c.DeadlineS),
		PriorityWeight:   c.Points,
		LateFraction:     c.LateShare,
		ExponentialDecay: s.Specifics.LosesWorth == exponentialDecay,
		Idempotency:      idempotencyByWord[c.Idempotency],
		KeyPerZone:       c.Group != allZones,
		KeyTTL:           Seconds(c.MemorySpanS),
		Ordered:          c.FifoByKey,
	}
}

// kind returns the kind of destination with an index in Shapes. The object's lists may be shorter than Shapes.
func (s *Specifics) kind(i int) policy.DestinationKind {
	k := policy.DestinationKind{MaxBatch: 1}
	if i < len(s.BundleMax) {
		k.MaxBatch = s.BundleMax[i]
	}
	if i < len(s.SeparateRoutes) {
		k.SeparateRoutes = s.SeparateRoutes[i]
	}
	return k
}

// Seconds returns a number of seconds as a duration, rounded to the nanosecond.
func Seconds(v float64) time.Duration {
	return time.Duration(math.Round(v * float64(time.Second)))
}
