package settings

import (
	"fmt"
	"math"
)

// Upper bounds of the numbers. A larger number is a mistake, and a much larger number of seconds would overflow a time.Duration.
const (
	maxSeconds = 24 * 3600
	maxCount   = 10_000_000
)

// FieldError reports a value of the object that can't be used.
type FieldError struct {
	Key    string // for example "categories[2].deadline_s", where elements are counted from 0
	Reason string
}

func (e *FieldError) Error() string { return "settings: " + e.Key + ": " + e.Reason }

func invalid(key, format string, args ...any) error {
	return &FieldError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// Validate returns a *FieldError for the first invalid value, or nil.
func (s *Settings) Validate() error {
	if _, ok := watchesEndpoints[s.Discovery]; !ok {
		return invalid("discovery", "unknown mode %q", s.Discovery)
	}
	if _, ok := weightsByWord[s.Weights]; !ok {
		return invalid("weights", "unknown meaning %q", s.Weights)
	}
	if err := s.validateCategories(); err != nil {
		return err
	}
	if err := s.validateCounts(); err != nil {
		return err
	}
	for i, c := range s.Classes {
		if _, ok := idempotencyByWord[c.Idempotency]; !ok {
			return invalid(fmt.Sprintf("categories[%d].idempotency", i), "unknown effect %q", c.Idempotency)
		}
	}
	return nil
}

// validateCategories checks the names and numbers of all classes, which the object calls categories.
func (s *Settings) validateCategories() error {
	names := map[string]bool{}
	for i := range s.Classes {
		c, key := &s.Classes[i], fmt.Sprintf("categories[%d]", i)
		if c.Name != "" && names[c.Name] {
			return invalid(key+".name", "duplicate name %q", c.Name)
		}
		names[c.Name] = true
		if err := c.validateNumbers(key); err != nil {
			return err
		}
	}
	return nil
}

// validateNumbers checks a class's numbers. The conditions are negated so that NaN fails them.
func (c *Class) validateNumbers(key string) error {
	switch {
	case !(c.DeadlineS > 0 && c.DeadlineS <= maxSeconds):
		return invalid(key+".deadline_s", "%v is not above 0 and at most a day", c.DeadlineS)
	case !(c.LatencyObjectiveS >= 0 && c.LatencyObjectiveS <= maxSeconds):
		return invalid(key+".aim_s", "%v is not from 0 to a day", c.LatencyObjectiveS)
	case !(c.KeyTTLS >= 0 && c.KeyTTLS <= maxSeconds):
		return invalid(key+".memory_span_s", "%v is not from 0 to a day", c.KeyTTLS)
	case !(c.PriorityWeight >= 0) || math.IsInf(c.PriorityWeight, 0):
		return invalid(key+".points", "%v is negative or not a finite number", c.PriorityWeight)
	case !(c.LateFraction >= 0 && c.LateFraction <= 1):
		return invalid(key+".late_share", "%v is not from 0 to 1", c.LateFraction)
	}
	return nil
}

// validateCounts checks the limits that are counts.
func (s *Settings) validateCounts() error {
	for _, count := range []struct {
		key   string
		value int
	}{
		{"limits.max_attempts", s.Limits.MaxAttempts},
		{"limits.max_open", s.Limits.MaxHeld},
		{"specifics.max_calls", s.Specifics.MaxInFlight},
	} {
		if count.value < 1 || count.value > maxCount {
			return invalid(count.key, "%d is not from 1 to %d", count.value, maxCount)
		}
	}
	return nil
}
