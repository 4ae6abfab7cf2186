package syserr

import "time"

// Backoff is the pause before a call that failed is repeated: it doubles from Min to Max with each
// failure. It has no jitter: the calls that it spaces failed on this machine, and reached no other.
type Backoff struct {
	Min, Max time.Duration
	next     time.Duration
}

// Next returns the pause after one more failure.
func (b *Backoff) Next() time.Duration {
	pause := max(b.next, b.Min)
	b.next = min(2*pause, b.Max)
	return pause
}

// Reset begins again with Min.
func (b *Backoff) Reset() { b.next = 0 }
