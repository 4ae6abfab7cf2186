package policy

import (
	"math"
	"time"
)

// minUsefulValue is the share of its priority weight that a message must still have at delivery
// while its queue is overloaded. A message admitted for later delivery would displace a message
// that could be delivered on time.
const minUsefulValue = 0.65

// Idempotency says whether a message may execute more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may execute any number of times
	IdempotentByKey                    // the destination drops repeats while it remembers the idempotency key
	NotIdempotent                      // must never execute twice
)

// Class is a class of messages. The JSON names are those of the stored form.
type Class struct {
	Name string `json:"Name"`

	// A message delivered within LatencyObjective has its full value, PriorityWeight. After that
	// its value falls, but not below LateFraction of PriorityWeight: linearly to that minimum at
	// Deadline or, with ExponentialDecay, by half with each further LatencyObjective. At Deadline
	// the message is given up.
	LatencyObjective time.Duration `json:"Aim"`
	Deadline         time.Duration `json:"Deadline"`
	PriorityWeight   float64       `json:"Worth"`
	LateFraction     float64       `json:"LateShare"`
	ExponentialDecay bool          `json:"Halving"`

	// With IdempotentByKey, a destination remembers an idempotency key for KeyTTL. With KeyPerZone,
	// only the endpoints in the zone of the endpoint that received the key remember it.
	Idempotency Idempotency   `json:"Effect"`
	KeyPerZone  bool          `json:"ByZone"`
	KeyTTL      time.Duration `json:"Memory"`

	// Ordered says that messages with the same order key are sent one at a time, in order of
	// arrival.
	Ordered bool `json:"Ordered"`
	// Retired says that the settings no longer contain the class. The class keeps its number
	// because messages accepted under it may still be unfinished.
	Retired bool `json:"Retired"`
}

// valueAt returns the share of its priority weight that a message still has at the given age.
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

// ageAtValue returns the age at which the value of a message has fallen to the given share of its
// priority weight.
func (c *Class) ageAtValue(share float64) time.Duration {
	switch {
	case share <= c.LateFraction:
		return c.Deadline
	case c.ExponentialDecay:
		return min(c.Deadline, c.LatencyObjective-time.Duration(math.Log2(share)*float64(c.LatencyObjective)))
	}
	return c.LatencyObjective + time.Duration((1-share)/(1-c.LateFraction)*float64(c.Deadline-c.LatencyObjective))
}

// maxUsefulAge returns the age at which the value of a message falls below minUsefulValue: the
// lowest such age among class c and the classes with at least the priority weight of c, whose
// messages may wait behind a message of class c. This keeps a queue from filling with messages of
// long deadlines and low priority weight ahead of urgent ones.
func (d *Dispatcher) maxUsefulAge(c *Class) time.Duration {
	age := c.ageAtValue(minUsefulValue)
	for i := range d.settings.Classes {
		if other := &d.settings.Classes[i]; other.PriorityWeight >= c.PriorityWeight && !other.Retired {
			age = min(age, other.ageAtValue(minUsefulValue))
		}
	}
	return age
}

// updateMeanPriorityWeight computes the mean priority weight of the classes that are not retired.
func (d *Dispatcher) updateMeanPriorityWeight() {
	classes := 0.0
	d.meanPriorityWeight = 0
	for i := range d.settings.Classes {
		if c := &d.settings.Classes[i]; !c.Retired {
			d.meanPriorityWeight += c.PriorityWeight
			classes++
		}
	}
	d.meanPriorityWeight /= math.Max(1, classes)
}
