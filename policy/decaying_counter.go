package policy

import (
	"math"
	"time"
)

const (
	// counterTimeConstant is the time constant of λ and r: a few arrivals a queue, but follows a jump of traffic.
	counterTimeConstant = 10 * time.Second
)

// decayingCounter is a counter whose counts fade with time constant counterAge (in policy.go).
type decayingCounter struct {
	value     float64
	updatedAt time.Duration
	startedAt time.Duration // when it began to count
}

func (a *decayingCounter) add(now time.Duration, n float64) {
	a.value = a.value*math.Exp(-float64(now-a.updatedAt)/float64(counterTimeConstant)) + n
	a.updatedAt = now
}

// count is what is left of the counts.
func (a *decayingCounter) count(now time.Duration) float64 {
	return a.value * math.Exp(-float64(now-a.updatedAt)/float64(counterTimeConstant))
}

// rate is the count a second over the counter's age.
func (a *decayingCounter) rate(now time.Duration) float64 {
	age := counterTimeConstant.Seconds()
	return a.count(now) / (age * (1 - math.Exp(-math.Max(1, (now-a.startedAt).Seconds())/age)))
}
