package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff draws the retry delays of one caller. It is not safe for concurrent use.
type Backoff struct {
	minDelay      time.Duration
	initialWindow time.Duration
	maxWindow     time.Duration
	window        time.Duration // the window of the next delay; 0 means initialWindow
	random        *rand.Rand
}

// New returns a Backoff whose delays lie between minDelay and the current window. The window starts at initialWindow and doubles with
// each delay, up to maxWindow.
func New(minDelay, initialWindow, maxWindow time.Duration, seed int64) *Backoff {
	initialWindow = max(initialWindow, minDelay)
	return &Backoff{
		minDelay:      minDelay,
		initialWindow: initialWindow,
		maxWindow:     max(maxWindow, initialWindow),
		random:        rand.New(rand.NewPCG(uint64(seed), 1)),
	}
}

// Next returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration {
	window := max(b.window, b.initialWindow)
	b.window = min(b.maxWindow, 2*window)
	return b.between(b.minDelay, window)
}

// Start returns the delay before a first attempt that many callers would otherwise make at the same time, for example because a release
// restarted all of them.
func (b *Backoff) Start() time.Duration { return b.between(0, b.initialWindow) }

// Reset records a success: the next delay is drawn from the initial window again.
func (b *Backoff) Reset() { b.window = 0 }

// between draws a delay uniformly between low and high.
func (b *Backoff) between(low, high time.Duration) time.Duration {
	return low + time.Duration(b.random.Float64()*float64(high-low))
}
