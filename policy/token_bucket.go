package policy

import (
	"math"
	"time"
)

// tokenBucket is a token bucket.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// refill adds the tokens that came since the last time, up to depth, and gives how many there are.
func (b *tokenBucket) refill(now time.Duration, rate, depth float64) float64 {
	b.tokens = math.Min(depth, b.tokens+rate*math.Max(0, (now-b.refilledAt).Seconds()))
	b.refilledAt = max(b.refilledAt, now)
	return b.tokens
}

// refillTime is the time in which tokens come at a rate, a little more than less.
func refillTime(tokens, rate float64) time.Duration {
	return time.Duration(math.Min(3600, math.Max(0, tokens)/rate)*float64(time.Second)) + time.Microsecond
}
