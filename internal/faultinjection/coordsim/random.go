package coordsim

import (
	"math/rand/v2"
	"time"
)

// randomSource is the only source of randomness in a run.
type randomSource struct{ *rand.Rand }

// chance returns true with a probability.
func (r randomSource) chance(probability float64) bool { return r.Float64() < probability }

// between draws a duration. Short durations are more likely than long ones.
func (r randomSource) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.Float64()*r.Float64()*float64(high-low))
}
