package policy

import (
	"fmt"
	"time"
)

// Weights is the meaning of the weights in the endpoint list.
type Weights int

// The meanings of a weight in the endpoint list.
const (
	WeightsOff         Weights = iota // no meaning; weights are ignored
	WeightsNominal                    // rate limit of the destination or separate route, in calls per second of all relays
	WeightsApproximate                // as WeightsNominal, but up to half too high or too low
)

// DestinationKind is a kind of destination.
type DestinationKind struct {
	// SeparateRoutes says that each endpoint is a separate route with its own queue, rate limit,
	// send rate and outages. Otherwise the endpoints of a destination share these.
	SeparateRoutes bool
	MaxBatch       int // largest number of messages in a call
}

// Settings is the configuration of a Dispatcher.
type Settings struct {
	Instances int // number of relays that share the traffic, including this one
	Zone      int // zone of this relay, as in Endpoint
	Classes   []Class
	Kinds     []DestinationKind
	Weights   Weights
	// ZoneCost is the cost of a message sent by a separate route of a zone, by zone number, as a
	// fraction of the mean priority weight.
	ZoneCost []float64

	MaxInFlight   int           // largest number of calls in flight
	MaxQueued     int           // largest number of unfinished messages, queued or in flight
	MaxAttempts   int           // largest number of attempts of a message
	MaxRetryAfter time.Duration // longest Retry-After that clients honour
	BatchInterval time.Duration // least time between two batches of events

	Hedging         bool          // two attempts of a message may be in flight at the same time
	CanCancel       bool          // calls in flight can be cancelled
	WatchEndpoints  bool          // changes of the endpoint list arrive only after a WatchEndpoints action
	IdleConnTimeout time.Duration // idle time after which connections are closed in any case; 0 if they never are

	// Directly after an outage, a destination has the fraction ColdCapacity of its capacity. That
	// fraction rises to 1 within SlowStartTime. The destination fails again if calls exceed
	// OverloadFactor times its current capacity for OverloadWindow.
	ColdCapacity   float64
	SlowStartTime  time.Duration
	OverloadFactor float64
	OverloadWindow time.Duration

	// OrderKeyCooldown is the time for which an order key is blocked after an attempt that may
	// still be executing.
	OrderKeyCooldown time.Duration
	// AwaitAcknowledgement says that terminal outcomes are acknowledged by their recipients and
	// that an Acknowledged event reports each acknowledgement. Until then, the next message with
	// the same order key waits.
	AwaitAcknowledgement bool
}

// SettingError reports a setting with an unusable value.
type SettingError struct {
	Setting string // key of the setting
	Problem string
}

// Error returns the key of the setting and the problem with its value.
func (e *SettingError) Error() string { return e.Setting + ": " + e.Problem }

func settingError(setting, format string, args ...any) error {
	return &SettingError{Setting: setting, Problem: fmt.Sprintf(format, args...)}
}

// validate returns a *SettingError for the first setting with an unusable value, or nil.
func (s *Settings) validate() error {
	for i := range s.Classes {
		if err := s.Classes[i].validate(i); err != nil {
			return err
		}
	}
	switch {
	case len(s.Classes) == 0:
		return settingError("Classes", "no classes")
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
		return settingError("RampTime, OverloadFor, OverloadFactor, ColdShare", "a value is negative")
	}
	return nil
}

// validate returns a *SettingError for the first setting of the class with an unusable value, or
// nil. The number of the class is i.
func (c *Class) validate(i int) error {
	key := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
	switch {
	case c.Deadline <= 0:
		return settingError(key("Deadline"), "%v is not positive", c.Deadline)
	case c.LatencyObjective < 0:
		return settingError(key("Aim"), "%v is negative", c.LatencyObjective)
	case c.KeyTTL < 0:
		return settingError(key("Memory"), "%v is negative", c.KeyTTL)
	case c.Idempotency < Idempotent || c.Idempotency > NotIdempotent:
		return settingError(key("Effect"), "%d is unknown", c.Idempotency)
	}
	return nil
}
