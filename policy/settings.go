package policy

import (
	"fmt"
	"time"
)

// Weights says what an endpoint's weight holds.
type Weights int

// The meanings of a weight.
const (
	WeightsOff     Weights = iota // nothing
	WeightsNominal                // calls a second the destination (or route) takes from all relays
	WeightsRough                  // the same, up to half too high or too low
)

// DestinationKind is one kind of destination.
type DestinationKind struct {
	SeparateRoutes bool // its endpoints are routes apart, each with its own limit, pace and outages
	MaxBatch       int  // messages in one call at most
}

// Settings is all that a dispatcher is told at its start.
type Settings struct {
	Instances        int // relays that share the traffic, this one included
	Zone             int // of this relay, as in Endpoint
	Classes          []Class
	Kinds            []DestinationKind
	ZoneCost         []float64 // by zone: points of the result for all messages sent by such routes
	MaxInFlight      int       // calls out at once
	MaxQueued        int       // messages held, sent or not
	MaxAttempts      int
	Hedging          bool // two attempts of a message may be out at once
	CanCancel        bool
	WatchEndpoints   bool // list changes come only after Subscribe
	Weights          Weights
	BatchInterval    time.Duration // least time between batches
	MaxRetryAfter    time.Duration // longest hold-off that a client honours
	ColdCapacity     float64       // share of its capacity that a destination has after an outage
	SlowStartTime    time.Duration // and all of it after this
	OverloadFactor   float64       // sent more than this multiple of its present capacity
	OverloadWindow   time.Duration // for this long, a cold destination falls over
	IdleConnTimeout  time.Duration // idle connections close by themselves after this; 0 for never
	OrderKeyCooldown time.Duration // rest of a key after an attempt that may still run
	// AwaitAcknowledgement says that ends take a while to be known where they are owed, and that Settled tells when they are: until then
	// the next message of the key waits.
	AwaitAcknowledgement bool
}

// validate names the first setting that makes no sense.
func (s *Settings) validate() error {
	for i, c := range s.Classes {
		switch {
		case c.Deadline <= 0:
			return fmt.Errorf("Classes[%d].Deadline: %v is not above 0", i, c.Deadline)
		case c.LatencyObjective < 0:
			return fmt.Errorf("Classes[%d].Aim: %v is negative", i, c.LatencyObjective)
		case c.KeyTTL < 0:
			return fmt.Errorf("Classes[%d].Memory: %v is negative", i, c.KeyTTL)
		case c.Idempotency < Idempotent || c.Idempotency > NotIdempotent:
			return fmt.Errorf("Classes[%d].Effect: %d is unknown", i, c.Idempotency)
		}
	}
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("Classes: there are none")
	case s.Instances < 1:
		return fmt.Errorf("Instances: %d is less than 1", s.Instances)
	case s.MaxInFlight < 1:
		return fmt.Errorf("Slots: %d is less than 1", s.MaxInFlight)
	case s.MaxQueued < 1:
		return fmt.Errorf("HoldRoom: %d is less than 1", s.MaxQueued)
	case s.MaxAttempts < 1:
		return fmt.Errorf("MaxAttempts: %d is less than 1", s.MaxAttempts)
	case s.Weights < WeightsOff || s.Weights > WeightsRough:
		return fmt.Errorf("Weights: %d is unknown", s.Weights)
	case s.BatchInterval < 0:
		return fmt.Errorf("Tick: %v is negative", s.BatchInterval)
	case s.OrderKeyCooldown < 0:
		return fmt.Errorf("OrderPause: %v is negative", s.OrderKeyCooldown)
	case s.SlowStartTime < 0 || s.OverloadWindow < 0 || s.OverloadFactor < 0 || s.ColdCapacity < 0:
		return fmt.Errorf("RampTime, OverloadFor, OverloadFactor, ColdShare: one is negative")
	}
	return nil
}
