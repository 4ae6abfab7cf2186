package syserr

import "time"

// Backoff is the pause before a failed call is retried: it doubles from Min to Max with each failure. It
// has no jitter, since the calls failed on this machine and put no load on another one.
type Backoff struct {
	Min, Max time.Duration
	next     time.Duration
}

// Next returns the pause after another failure.
func (b *Backoff) Next() time.Duration {
	pause := max(b.next, b.Min)
	b.next = min(2*pause, b.Max)
	return pause
}

// Reset sets the next pause to Min.
func (b *Backoff) Reset() { b.next = 0 }
