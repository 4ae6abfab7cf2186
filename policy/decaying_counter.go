package policy

import (
	"math"
	"time"
)

// counterTimeConstant is the time constant of arrival and rejection rates: it spans a few arrivals
// per queue, but follows a jump of traffic.
const counterTimeConstant = 10 * time.Second

// decayingCounter is a count that decays exponentially with counterTimeConstant.
type decayingCounter struct {
	value     float64
	updatedAt time.Duration
	startedAt time.Duration // when it began to count
}

// add counts n more.
func (c *decayingCounter) add(now time.Duration, n float64) {
	c.value = c.value*math.Exp(-float64(now-c.updatedAt)/float64(counterTimeConstant)) + n
	c.updatedAt = now
}

// count returns what is left of the count.
func (c *decayingCounter) count(now time.Duration) float64 {
	return c.value * math.Exp(-float64(now-c.updatedAt)/float64(counterTimeConstant))
}

// rate returns the count per second, over the time constant or over the counter's own age where
// that is less.
func (c *decayingCounter) rate(now time.Duration) float64 {
	timeConstant := counterTimeConstant.Seconds()
	return c.count(now) / (timeConstant * (1 - math.Exp(-math.Max(1, (now-c.startedAt).Seconds())/timeConstant)))
}
