package policy

import (
	"math"
	"time"
)

const (
	// counterAge is the time constant of λ and r: a few arrivals a queue, but follows a jump of traffic.
	counterAge = 10 * time.Second
)

// aged is a counter whose counts fade with time constant counterAge (in policy.go).
type aged struct {
	n     float64
	at    time.Duration
	since time.Duration // when it began to count
}

func (a *aged) add(now time.Duration, n float64) {
	a.n = a.n*math.Exp(-float64(now-a.at)/float64(counterAge)) + n
	a.at = now
}

// count is what is left of the counts.
func (a *aged) count(now time.Duration) float64 {
	return a.n * math.Exp(-float64(now-a.at)/float64(counterAge))
}

// rate is the count a second over the counter's age.
func (a *aged) rate(now time.Duration) float64 {
	age := counterAge.Seconds()
	return a.count(now) / (age * (1 - math.Exp(-math.Max(1, (now-a.since).Seconds())/age)))
}
