package destination

import (
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// minRefillRate bounds the wait for a token while a limit is lowered to nothing, in tokens per second.
const minRefillRate = 1e-3

// rateLimit limits the attempts that a destination admits.
type rateLimit interface {
	// take takes an attempt from the limit. If none is left it returns the wait until one is.
	take(now time.Duration) (ok bool, wait time.Duration)
	// giveBack undoes a take that admitted an attempt, unless rejected attempts count too.
	giveBack()
	// fractionLeft returns the fraction of the limit that is left.
	fractionLeft(now time.Duration) float64
	// scale sets the fraction of the configured limit that holds from now on.
	scale(now time.Duration, fraction float64)
	// perSecond returns the attempts per second that are admitted at present.
	perSecond() float64
}

// newRateLimit returns the limit of a destination, or nil.
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

// tokenBucket is a limit on the rate. Where rejected attempts count, its tokens fall below 0.
type tokenBucket struct {
	limit          *scenario.Limit
	countsRejected bool
	fraction       float64 // of the limit that holds
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

func (b *tokenBucket) giveBack() {
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

// windowCounter is a limit on the count in each window of time. Windows follow each other from time 0 on.
type windowCounter struct {
	limit          *scenario.Limit
	countsRejected bool
	fraction       float64 // of the limit that holds
	window         int64   // the number of the current window
	count          int     // in the current window
}

func (c *windowCounter) enterWindow(now time.Duration) {
	if window := int64(now / scenario.Seconds(c.limit.Window)); window != c.window {
		c.window, c.count = window, 0
	}
}

// maxCount returns the count that a window admits at present.
func (c *windowCounter) maxCount() int { return int(float64(c.limit.Count) * c.fraction) }

func (c *windowCounter) take(now time.Duration) (ok bool, wait time.Duration) {
	c.enterWindow(now)
	if c.count < c.maxCount() {
		c.count++
		return true, 0
	}
	return false, scenario.Seconds(c.limit.Window*float64(c.window+1)) - now
}

func (c *windowCounter) giveBack() {
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

// LowerLimit lowers the destination's limit to a fraction of the configured one from now on; 1 restores it.
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

func (m *Model) returnToLimit() {
	if m.limit != nil {
		m.limit.giveBack()
	}
}
