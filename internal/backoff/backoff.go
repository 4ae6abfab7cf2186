// Package backoff says when a caller repeats an attempt, so that many callers of one server that fail together do not come
// back together: capped exponential windows with full jitter, drawn from the caller's own seed. The windows are to grow
// with the number of callers, which whoever makes a Backoff sees to.
//
// Of the forms in use (docs/design/fleet.md) this is the one whose callers spread over the whole window. The libraries at
// hand draw around a fixed delay (cenkalti/backoff: half of it to either side) and from a source that all share, so that
// no seed replays them.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff gives one caller's delays. It is not safe for concurrent use.
type Backoff struct {
	least, span, most time.Duration
	window            time.Duration // the next one; 0: span
	chance            *rand.Rand
}

// New gives delays from least up to a window, which is span at first, and doubles with each attempt up to most.
func New(least, span, most time.Duration, seed int64) *Backoff {
	span = max(span, least)
	return &Backoff{least: least, span: span, most: max(most, span), chance: rand.New(rand.NewPCG(uint64(seed), 1))}
}

// Next gives the delay before the next attempt.
func (b *Backoff) Next() time.Duration {
	window := max(b.window, b.span)
	b.window = min(b.most, 2*window)
	return b.within(b.least, window)
}

// Start gives the delay of a first attempt that many make because of one cause, such as a release.
func (b *Backoff) Start() time.Duration { return b.within(0, b.span) }

// Reset notes a success: the next failure is the first one.
func (b *Backoff) Reset() { b.window = 0 }

func (b *Backoff) within(least, most time.Duration) time.Duration {
	return least + time.Duration(b.chance.Float64()*float64(most-least))
}
