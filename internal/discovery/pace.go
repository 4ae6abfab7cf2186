package discovery

import (
	"context"
	"time"

	"frostlink/internal/wait"
)

const (
	// maxChangeBurst is the number of endpoints that the lists of a watch may name at once, and maxChangeRate the number per second
	// beyond that; a list counts as one endpoint at least. A watch begins with the whole list, and all endpoints of the largest fleet
	// may be replaced within seconds.
	maxChangeBurst, maxChangeRate = 9600, 1000
)

// pace delays the lists of a watch that sends more than any fleet needs, so that handling them leaves the processor to clients.
type pace struct {
	spare float64 // number of endpoints that need not wait
	at    time.Time
}

func newPace(now time.Time) pace { return pace{spare: maxChangeBurst, at: now} }

// next returns how long the next list has to wait, which names a number of endpoints.
func (p *pace) next(now time.Time, endpoints int) time.Duration {
	p.spare = min(maxChangeBurst, p.spare+maxChangeRate*now.Sub(p.at).Seconds())
	p.at = now
	p.spare -= float64(max(1, endpoints))
	return time.Duration(max(0, -p.spare) / maxChangeRate * float64(time.Second))
}

// wait waits for the turn of the next list, which names a number of endpoints. It reports false if ctx has ended before.
func (p *pace) wait(ctx context.Context, endpoints int) bool {
	return wait.For(ctx, p.next(time.Now(), endpoints))
}
