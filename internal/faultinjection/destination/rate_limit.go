package destination

import (
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// minRefillRate, in tokens per second, bounds the calculated wait for a token while a limit is lowered to 0.
const minRefillRate = 1e-3

// rateLimit limits the attempts that a destination admits.
type rateLimit interface {
	// take counts an attempt against the limit. If the limit is used up, it returns the wait until the next attempt can be admitted.
	take(now time.Duration) (ok bool, wait time.Duration)
	// refund undoes a take whose attempt was then rejected for another reason. It has no effect if rejected attempts count as well.
	refund()
	// fractionLeft returns the fraction of the limit that is unused.
	fractionLeft(now time.Duration) float64
	// scale sets the fraction of the configured limit that applies from now on.
	scale(now time.Duration, fraction float64)
	// perSecond returns how many attempts per second the limit allows at present.
	perSecond() float64
}

// newRateLimit returns the limit of a destination, or nil if it has none.
func newRateLimit(spec *scenario.Destination) rateLimit {
	limit := spec.Limit
	switch {
	case limit == nil:
		return nil
	case limit.Rate > 0:
		return &tokenBucket{limit: limit, countsRejected: spec.CountsRejected, fraction: 1, tokens: limit.Burst}
	default:
		return &windowCounter{limit: limit, countsRejected: spec.CountsRejected, fraction: 1}
	}
}

// tokenBucket limits the rate of attempts. If rejected attempts count as well, each takes a token, so that the number of tokens can fall
// below 0.
type tokenBucket struct {
	limit          *scenario.Limit
	countsRejected bool
	fraction       float64 // of the configured limit, as set by scale
	tokens         float64
	filledAt       time.Duration
}

func (b *tokenBucket) refill(now time.Duration) {
	b.tokens = min(b.limit.Burst, b.tokens+b.limit.Rate*b.fraction*(now-b.filledAt).Seconds())
	b.filledAt = now
}

func (b *tokenBucket) take(now time.Duration) (ok bool, wait time.Duration) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if b.countsRejected {
		b.tokens = max(-b.limit.Burst, b.tokens-1)
	}
	return false, scenario.Seconds((1 - b.tokens) / max(b.limit.Rate*b.fraction, minRefillRate))
}

func (b *tokenBucket) refund() {
	if !b.countsRejected {
		b.tokens++
	}
}

func (b *tokenBucket) fractionLeft(now time.Duration) float64 {
	b.refill(now)
	return max(0, b.tokens/b.limit.Burst)
}

func (b *tokenBucket) scale(now time.Duration, fraction float64) {
	b.refill(now)
	b.fraction = fraction
}

func (b *tokenBucket) perSecond() float64 { return b.limit.PerSecond() * b.fraction }

// windowCounter limits the number of attempts in each of the successive time windows, which begin at time 0.
type windowCounter struct {
	limit          *scenario.Limit
	countsRejected bool
	fraction       float64 // of the configured limit, as set by scale
	window         int64   // the number of the current window
	count          int     // attempts counted in the current window
}

func (c *windowCounter) enterWindow(now time.Duration) {
	if window := int64(now / scenario.Seconds(c.limit.Window)); window != c.window {
		c.window, c.count = window, 0
	}
}

// maxCount returns how many attempts a window admits at present.
func (c *windowCounter) maxCount() int { return int(float64(c.limit.Count) * c.fraction) }

func (c *windowCounter) take(now time.Duration) (ok bool, wait time.Duration) {
	c.enterWindow(now)
	if c.count < c.maxCount() {
		c.count++
		return true, 0
	}
	return false, scenario.Seconds(c.limit.Window*float64(c.window+1)) - now
}

func (c *windowCounter) refund() {
	if !c.countsRejected {
		c.count--
	}
}

func (c *windowCounter) fractionLeft(now time.Duration) float64 {
	c.enterWindow(now)
	return max(0, 1-float64(c.count)/max(1, float64(c.maxCount())))
}

func (c *windowCounter) scale(now time.Duration, fraction float64) {
	c.enterWindow(now)
	c.fraction = fraction
}

func (c *windowCounter) perSecond() float64 { return c.limit.PerSecond() * c.fraction }

// LowerLimit lowers the destination's limit to a fraction of the configured limit from now on. A fraction of 1 restores the limit.
func (m *Model) LowerLimit(now time.Duration, fraction float64) []Action {
	m.advance(now)
	if m.limit != nil {
		m.limit.scale(m.now, fraction)
	}
	return m.takeActions()
}

func (m *Model) takeFromLimit() (ok bool, wait time.Duration) {
	if m.limit == nil {
		return true, 0
	}
	return m.limit.take(m.now)
}

func (m *Model) refundLimit() {
	if m.limit != nil {
		m.limit.refund()
	}
}
