package policy

import (
	"math"
	"time"
)

// tokenBucket is a token bucket. Its zero value is empty. The number of tokens is negative if more
// tokens have been taken than were available.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// refill adds the tokens for the time since the last refill, up to depth, and returns the number of
// tokens.
func (b *tokenBucket) refill(now time.Duration, rate, depth float64) float64 {
	b.tokens = math.Min(depth, b.tokens+rate*math.Max(0, (now-b.refilledAt).Seconds()))
	b.refilledAt = max(b.refilledAt, now)
	return b.tokens
}

// refillTime returns the time in which the given number of tokens is refilled at a rate, at most an
// hour, plus a microsecond to round up.
func refillTime(tokens, rate float64) time.Duration {
	const maxSeconds = 3600
	return time.Duration(math.Min(maxSeconds, math.Max(0, tokens)/rate)*float64(time.Second)) + time.Microsecond
}
