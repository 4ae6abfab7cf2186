package policy

import (
	"math"
	"slices"
	"time"
)

// Idempotency says what a second execution of a message would do.
type Idempotency int

// The effects of a class.
const (
	Idempotent      Idempotency = iota // may be repeated at will
	IdempotentByKey                    // the destination drops a repeat while it remembers the key
	NotIdempotent                      // must never run twice
)

// Class is one class of message.
type Class struct {
	Name             string        `json:"Name"`
	LatencyObjective time.Duration `json:"Aim"`      // full worth up to here
	Deadline         time.Duration `json:"Deadline"` // given up after this
	PriorityWeight   float64       `json:"Worth"`
	LateFraction     float64       `json:"LateShare"` // share of the worth left at the deadline
	ExponentialDecay bool          `json:"Halving"`   // the worth halves with each further Aim instead of falling evenly
	Idempotency      Idempotency   `json:"Effect"`
	KeyPerZone       bool          `json:"ByZone"`  // Keyed: only endpoints of one zone share the memory of a key
	KeyTTL           time.Duration `json:"Memory"`  // Keyed: how long a key is remembered
	Ordered          bool          `json:"Ordered"` // messages with one key go one at a time, in order
	// Retired: the settings have it no more. It keeps its number for messages that were taken on under it.
	Retired bool `json:"Retired"`
}

// valueAt is the share of its worth that a message has at an age.
func (c *Class) valueAt(age time.Duration) float64 {
	switch {
	case age <= c.LatencyObjective:
		return 1
	case age > c.Deadline:
		return 0
	case c.ExponentialDecay && c.LatencyObjective > 0:
		return math.Max(c.LateFraction, math.Pow(0.5, float64(age-c.LatencyObjective)/float64(c.LatencyObjective)))
	}
	return 1 - (1-c.LateFraction)*float64(age-c.LatencyObjective)/float64(c.Deadline-c.LatencyObjective)
}

// ageAtValue is the age at which a message has only a share of its worth left.
func (c *Class) ageAtValue(share float64) time.Duration {
	switch {
	case share <= c.LateFraction:
		return c.Deadline
	case c.ExponentialDecay:
		return min(c.Deadline, c.LatencyObjective-time.Duration(math.Log2(share)*float64(c.LatencyObjective)))
	}
	return c.LatencyObjective + time.Duration((1-share)/(1-c.LateFraction)*float64(c.Deadline-c.LatencyObjective))
}

// stricter gives the terms of a class under which an attempt needs leave from it and from what the settings
// say now. A message of a class that was safe has no key for a destination to remember: where the class is
// keyed now, it is repeated only if it never ran.
func (c *Class) stricter(now *Class) *Class {
	as := c.Idempotency != IdempotentByKey || now.KeyTTL >= c.KeyTTL && (c.KeyPerZone || !now.KeyPerZone) // as strict
	if now.Retired || now.Idempotency == c.Idempotency && as {
		return c
	}
	both := *c
	switch {
	case c.Idempotency == NotIdempotent || now.Idempotency == NotIdempotent || c.Idempotency == Idempotent && now.Idempotency == IdempotentByKey:
		both.Idempotency = NotIdempotent
	case now.Idempotency == IdempotentByKey: // and so is c
		both.KeyTTL, both.KeyPerZone = min(c.KeyTTL, now.KeyTTL), c.KeyPerZone || now.KeyPerZone
	}
	return &both
}

// MergeClasses gives the table of classes after new settings: a name that was there keeps its number and gets its new terms, new
// names follow, and what the settings no longer have stays as retired, so that nothing is renumbered under a message.
func MergeClasses(table, settings []Class) []Class {
	merged := slices.Clone(table)
	for i := range merged {
		merged[i].Retired = true
	}
	for _, c := range settings {
		if i := slices.IndexFunc(merged, func(k Class) bool { return k.Name == c.Name }); i >= 0 {
			merged[i] = c
		} else {
			merged = append(merged, c)
		}
	}
	return merged
}
