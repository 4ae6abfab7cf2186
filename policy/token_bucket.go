package policy

import (
	"math"
	"time"
)

// bucket is a token bucket.
type bucket struct {
	tokens   float64
	tokensAt time.Duration
}

// fill adds the tokens that came since the last time, up to depth, and gives how many there are.
func (b *bucket) fill(now time.Duration, rate, depth float64) float64 {
	b.tokens = math.Min(depth, b.tokens+rate*math.Max(0, (now-b.tokensAt).Seconds()))
	b.tokensAt = max(b.tokensAt, now)
	return b.tokens
}

// wait is the time in which tokens come at a rate, a little more than less.
func wait(tokens, rate float64) time.Duration {
	return time.Duration(math.Min(3600, math.Max(0, tokens)/rate)*float64(time.Second)) + time.Microsecond
}
