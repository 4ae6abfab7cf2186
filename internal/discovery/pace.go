package discovery

import (
	"context"
	"time"

	"frostlink/internal/wait"
)

const (
	// maxListBurst is the number of lists that a watch may send at once, and maxListRate the number per second beyond that. A watch
	// sends a list for each change, also when all endpoints of the largest fleet are replaced within seconds.
	maxListBurst, maxListRate = 3200, 1000
)

// pace delays the lists of a watch that sends more than any fleet needs, so that handling them leaves the processor to clients.
type pace struct {
	spare float64 // number of lists that need not wait
	at    time.Time
}

func newPace(now time.Time) pace { return pace{spare: maxListBurst, at: now} }

// next returns how long the next list has to wait.
func (p *pace) next(now time.Time) time.Duration {
	p.spare = min(maxListBurst, p.spare+maxListRate*now.Sub(p.at).Seconds())
	p.at = now
	p.spare--
	return time.Duration(max(0, -p.spare) / maxListRate * float64(time.Second))
}

// wait waits for the turn of the next list. It reports false if ctx has ended before.
func (p *pace) wait(ctx context.Context) bool { return wait.For(ctx, p.next(time.Now())) }
