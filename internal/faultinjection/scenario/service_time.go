package scenario

import (
	"math"
	"math/rand/v2"
	"time"

	"frostlink/internal/settings"
)

// Seconds returns a number of seconds as a duration.
func Seconds(v float64) time.Duration { return settings.Seconds(v) }

// Milliseconds returns a number of milliseconds as a duration.
func Milliseconds(v float64) time.Duration { return settings.Seconds(v / 1000) }

// MeanServiceTime returns the mean service time in seconds of a healthy destination's attempts, over all classes.
func (s *Scenario) MeanServiceTime(d *Destination) float64 {
	sum, shares := 0.0, 0.0
	for _, class := range s.Classes {
		sum += class.Share * class.ServiceTimeMS / 1000
		shares += class.Share
	}
	return sum / shares * d.ServiceTimeFactor
}

// ServiceTime draws the service time of a message's n-th attempt at a destination with service time factor 1. The message's own part
// is the same for each attempt, the noise is not.
func (s *Scenario) ServiceTime(streams RandomStreams, m *Message, n int) time.Duration {
	class := &s.Classes[m.Class]
	seconds := class.ServiceTimeMS / 1000
	random := streams.Stream("work", m.Number)
	switch class.Distribution {
	case Exponential:
		seconds *= random.ExpFloat64()
	case Lognormal:
		seconds *= drawLognormal(random, class.CV)
	case Fixed:
	}
	if class.Noise > 0 {
		seconds *= drawLognormal(streams.Stream("noise", m.Number, n), class.Noise)
	}
	return Seconds(seconds)
}

// drawLognormal draws a number with mean 1 and a coefficient of variation.
//
// exp(σ·Z - σ²/2) with Z standard normal has mean 1 and variance exp(σ²) - 1, so that σ² = ln(1 + cv²).
func drawLognormal(random *rand.Rand, cv float64) float64 {
	σ2 := math.Log(1 + cv*cv)
	return math.Exp(math.Sqrt(σ2)*random.NormFloat64() - σ2/2)
}
