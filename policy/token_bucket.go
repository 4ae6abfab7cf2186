package policy

import (
	"math"
	"time"
)

// tokenBucket holds tokens that come at a rate, up to a depth. Its zero value is empty. Tokens may
// be negative: a debt.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// refill adds the tokens that came since the last time and returns how many there are.
func (b *tokenBucket) refill(now time.Duration, rate, depth float64) float64 {
	b.tokens = math.Min(depth, b.tokens+rate*math.Max(0, (now-b.refilledAt).Seconds()))
	b.refilledAt = max(b.refilledAt, now)
	return b.tokens
}

// refillTime returns the time in which so many tokens come at a rate, rounded up, and an hour at
// most.
func refillTime(tokens, rate float64) time.Duration {
	const mostSeconds = 3600
	return time.Duration(math.Min(mostSeconds, math.Max(0, tokens)/rate)*float64(time.Second)) + time.Microsecond
}
