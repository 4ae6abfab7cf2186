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

// MeanServiceTime returns the mean service time of attempts at a healthy destination over all classes, in seconds.
func (s *Scenario) MeanServiceTime(d *Destination) float64 {
	sum, shares := 0.0, 0.0
	for _, class := range s.Classes {
		sum += class.Share * class.ServiceTimeMS / 1000
		shares += class.Share
	}
	return sum / shares * d.ServiceTimeFactor
}

// ServiceTime draws the service time of the n-th attempt of a message at a destination with service time factor 1. The part that the
// class's distribution determines is the same for all attempts of a message; the noise differs between attempts.
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

// drawLognormal draws a lognormal number with mean 1 and the coefficient of variation cv.
//
// exp(σ·Z - σ²/2) with Z standard normal has mean 1 and variance exp(σ²) - 1, so that σ² = ln(1 + cv²).
func drawLognormal(random *rand.Rand, cv float64) float64 {
	σ2 := math.Log(1 + cv*cv)
	return math.Exp(math.Sqrt(σ2)*random.NormFloat64() - σ2/2)
}
