package harness

import (
	"context"
	"fmt"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/settings"
)

// progressInterval is the time between two lines of progress.
const progressInterval = time.Second

// runProgress is the progress of a run at one time.
type runProgress struct {
	sent, delivered int     // messages
	open            int     // accepted submissions without a terminal outcome
	deliveredWeight float64 // priority weight that remained at delivery
	sentWeight      float64 // priority weight of all messages sent
}

// printProgress prints the progress of the run once a second.
func (h *harness) printProgress(ctx context.Context, messages []*scenario.Message) {
	if h.options.Progress == nil {
		return
	}
	classes := h.scenario.RelaySettings(0).Classes
	for tick := 1; h.until(ctx, time.Duration(tick)*progressInterval); tick++ {
		p := h.ledger.progress(classes, messages, h.now())
		fmt.Fprintf(h.options.Progress, "%3d s  sent %6d  delivered %6d  held %5d  worth %.3f\n",
			tick, p.sent, p.delivered, p.open, p.deliveredWeight/max(1e-9, p.sentWeight))
	}
}

// progress returns the progress of the run at a time. The messages are in the order of their times.
func (l *ledger) progress(classes []settings.Class, messages []*scenario.Message, now time.Duration) runProgress {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := runProgress{open: l.open}
	for _, m := range messages {
		if m.At > now {
			break
		}
		class := &classes[m.Class]
		p.sent++
		p.sentWeight += class.PriorityWeight
		if at, ok := l.deliveredAt[m.Number]; ok {
			p.delivered++
			p.deliveredWeight += class.PriorityWeight * checker.RemainingWeight(class, at-m.At)
		}
	}
	return p
}
