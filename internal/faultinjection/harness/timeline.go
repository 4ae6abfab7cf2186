package harness

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"
)

// scheduledAction is one action of the timeline.
type scheduledAction struct {
	at          time.Duration
	description string // in the result's timeline; empty: it is not listed
	run         func()
}

// runTimeline injects the scenario's faults, each at its time.
func (h *harness) runTimeline(ctx context.Context) {
	actions := h.scheduleFaults()
	for _, a := range actions {
		if a.description != "" {
			h.timeline = append(h.timeline, fmt.Sprintf("%7.2f s  %s", a.at.Seconds(), a.description))
		}
	}
	for _, a := range actions {
		if !h.until(ctx, a.at) {
			return
		}
		h.recordTiming(a.at)
		a.run()
	}
}

// scheduleFaults returns the actions of all faults, sorted by time. Actions at the same time are in the order of the scenario.
func (h *harness) scheduleFaults() (actions []scheduledAction) {
	for i := range h.scenario.Faults {
		actions = append(actions, h.scheduleFault(newScheduledFault(i, &h.scenario.Faults[i]))...)
	}
	slices.SortStableFunc(actions, func(a, b scheduledAction) int { return cmp.Compare(a.at, b.at) })
	return actions
}
