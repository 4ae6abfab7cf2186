package policy

import (
	"math"
	"time"
)

// counterTimeConstant is the time constant of arrival and rejection rates. It is long enough to
// cover a few arrivals per queue, and short enough to follow a sudden change of traffic.
const counterTimeConstant = 10 * time.Second

// decayingCounter is a count that decays exponentially with counterTimeConstant.
type decayingCounter struct {
	value     float64
	updatedAt time.Duration
	startedAt time.Duration // when counting began
}

func (c *decayingCounter) add(now time.Duration, n float64) {
	c.value = c.value*math.Exp(-float64(now-c.updatedAt)/float64(counterTimeConstant)) + n
	c.updatedAt = now
}

// count returns the decayed count at the given time.
func (c *decayingCounter) count(now time.Duration) float64 {
	return c.value * math.Exp(-float64(now-c.updatedAt)/float64(counterTimeConstant))
}

// rate returns the count per second. It corrects for the age of a counter that has not yet run for
// much longer than its time constant; ages below one second count as one second.
func (c *decayingCounter) rate(now time.Duration) float64 {
	timeConstant := counterTimeConstant.Seconds()
	return c.count(now) / (timeConstant * (1 - math.Exp(-math.Max(1, (now-c.startedAt).Seconds())/timeConstant)))
}
