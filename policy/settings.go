package policy

import (
	"fmt"
	"time"
)

// Weights says what the weight of an endpoint in the endpoint list means.
type Weights int

// The meanings of a weight.
const (
	WeightsOff         Weights = iota // none
	WeightsNominal                    // calls per second that the destination (or route) takes from all relays
	WeightsApproximate                // the same, up to half too high or too low
)

// DestinationKind is one kind of destination.
type DestinationKind struct {
	// SeparateRoutes says that each endpoint is a route of its own, with its own rate limit, send
	// rate and outages. Otherwise the endpoints of a destination share all of these.
	SeparateRoutes bool
	MaxBatch       int // most messages in one call
}

// Settings is the configuration of a Dispatcher.
type Settings struct {
	Instances int // relays that share the traffic, this one included
	Zone      int // zone of this relay, as in Endpoint
	Classes   []Class
	Kinds     []DestinationKind
	Weights   Weights
	// ZoneCost is, by zone, the cost of sending all messages by routes of that zone, as a fraction
	// of their priority weight.
	ZoneCost []float64

	MaxInFlight   int           // most calls in flight at once
	MaxQueued     int           // most unfinished messages, queued or in flight
	MaxAttempts   int           // most attempts of one message
	MaxRetryAfter time.Duration // longest Retry-After that a client honours
	BatchInterval time.Duration // least time between two batches of events

	Hedging         bool          // two attempts of a message may be in flight at once
	CanCancel       bool          // a call in flight can be cancelled
	WatchEndpoints  bool          // list changes come only after a WatchEndpoints action
	IdleConnTimeout time.Duration // idle connections close by themselves after this; 0: never

	// A destination has ColdCapacity, a fraction of its capacity, right after an outage, and all of
	// it after SlowStartTime. It fails again when it gets more than OverloadFactor times its
	// present capacity for OverloadWindow.
	ColdCapacity   float64
	SlowStartTime  time.Duration
	OverloadFactor float64
	OverloadWindow time.Duration

	// OrderKeyCooldown is the time for which an order key is blocked after an attempt that may
	// still be executing.
	OrderKeyCooldown time.Duration
	// AwaitAcknowledgement says that outcomes take a while to reach the party they are owed to, and
	// that an Acknowledged event tells when one has. Until then the next message with the same
	// order key waits.
	AwaitAcknowledgement bool
}

// SettingError reports a setting without a usable value.
type SettingError struct {
	Setting string // its key
	Problem string
}

// Error returns the setting's key and what is wrong with it.
func (e *SettingError) Error() string { return e.Setting + ": " + e.Problem }

func settingError(setting, format string, args ...any) error {
	return &SettingError{Setting: setting, Problem: fmt.Sprintf(format, args...)}
}

// validate returns the first setting without a usable value as a *SettingError, or nil.
func (s *Settings) validate() error {
	for i := range s.Classes {
		if err := s.Classes[i].validate(i); err != nil {
			return err
		}
	}
	switch {
	case len(s.Classes) == 0:
		return settingError("Classes", "there are none")
	case s.Instances < 1:
		return settingError("Instances", "%d is less than 1", s.Instances)
	case s.MaxInFlight < 1:
		return settingError("Slots", "%d is less than 1", s.MaxInFlight)
	case s.MaxQueued < 1:
		return settingError("HoldRoom", "%d is less than 1", s.MaxQueued)
	case s.MaxAttempts < 1:
		return settingError("MaxAttempts", "%d is less than 1", s.MaxAttempts)
	case s.Weights < WeightsOff || s.Weights > WeightsApproximate:
		return settingError("Weights", "%d is unknown", s.Weights)
	case s.BatchInterval < 0:
		return settingError("Tick", "%v is negative", s.BatchInterval)
	case s.OrderKeyCooldown < 0:
		return settingError("OrderPause", "%v is negative", s.OrderKeyCooldown)
	case s.SlowStartTime < 0 || s.OverloadWindow < 0 || s.OverloadFactor < 0 || s.ColdCapacity < 0:
		return settingError("RampTime, OverloadFor, OverloadFactor, ColdShare", "one is negative")
	}
	return nil
}

// validate reports the first setting of class number i without a usable value.
func (c *Class) validate(i int) error {
	key := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
	switch {
	case c.Deadline <= 0:
		return settingError(key("Deadline"), "%v is not above 0", c.Deadline)
	case c.LatencyObjective < 0:
		return settingError(key("Aim"), "%v is negative", c.LatencyObjective)
	case c.KeyTTL < 0:
		return settingError(key("Memory"), "%v is negative", c.KeyTTL)
	case c.Idempotency < Idempotent || c.Idempotency > NotIdempotent:
		return settingError(key("Effect"), "%d is unknown", c.Idempotency)
	}
	return nil
}
