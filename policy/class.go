package policy

import (
	"math"
	"time"
)

// minUsefulValue is the share of its priority weight that a message must still have when it is
// delivered, while more messages arrive for its queue than can leave: one admitted to be delivered
// later than that takes the place of one that would be on time.
const minUsefulValue = 0.65

// Idempotency says what a second execution of a message would do.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be repeated at will
	IdempotentByKey                    // repeats are dropped while the key is remembered
	NotIdempotent                      // must never execute twice
)

// Class is one class of message. The JSON names are those of the stored form.
type Class struct {
	Name string `json:"Name"`

	// A message has its full PriorityWeight, the value of its delivery, up to LatencyObjective.
	// Then its value falls to LateFraction of that at Deadline, when it is given up: evenly, or by
	// half with each further LatencyObjective.
	LatencyObjective time.Duration `json:"Aim"`
	Deadline         time.Duration `json:"Deadline"`
	PriorityWeight   float64       `json:"Worth"`
	LateFraction     float64       `json:"LateShare"`
	ExponentialDecay bool          `json:"Halving"`

	// With IdempotentByKey, a destination remembers a key for KeyTTL, and with KeyPerZone only in
	// the zone of the endpoint that got it.
	Idempotency Idempotency   `json:"Effect"`
	KeyPerZone  bool          `json:"ByZone"`
	KeyTTL      time.Duration `json:"Memory"`

	// Ordered says that messages with one order key are sent one at a time, in order of arrival.
	Ordered bool `json:"Ordered"`
	// Retired says that the settings no longer have the class. It keeps its number for messages
	// that were accepted under it.
	Retired bool `json:"Retired"`
}

// valueAt returns the share of its priority weight that a message has at an age.
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

// ageAtValue returns the age at which a message has only a share of its priority weight left.
func (c *Class) ageAtValue(share float64) time.Duration {
	switch {
	case share <= c.LateFraction:
		return c.Deadline
	case c.ExponentialDecay:
		return min(c.Deadline, c.LatencyObjective-time.Duration(math.Log2(share)*float64(c.LatencyObjective)))
	}
	return c.LatencyObjective + time.Duration((1-share)/(1-c.LateFraction)*float64(c.Deadline-c.LatencyObjective))
}

// maxUsefulAge returns the age at which a message of class c falls under minUsefulValue, or an
// earlier one at which a class of at least its priority weight does that would wait behind it. It
// guards urgent messages against a queue full of patient ones of less weight.
func (d *Dispatcher) maxUsefulAge(c *Class) time.Duration {
	age := c.ageAtValue(minUsefulValue)
	for i := range d.settings.Classes {
		if other := &d.settings.Classes[i]; other.PriorityWeight >= c.PriorityWeight && !other.Retired {
			age = min(age, other.ageAtValue(minUsefulValue))
		}
	}
	return age
}

// updateMeanPriorityWeight computes the mean priority weight of the classes in the settings.
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
