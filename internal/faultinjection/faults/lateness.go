package faults

import (
	"context"
	"time"

	"frostlink/internal/wait"
)

// latenessInterval is between two measurements of the harness's own lateness.
const latenessInterval = 5 * time.Millisecond

// latenessMonitor measures how late the harness's own timers fire, which shows a machine too busy for a verdict.
type latenessMonitor struct {
	cancel context.CancelFunc
	done   chan struct{}
	max    time.Duration // read when done is closed
}

// monitorLateness starts to measure. The monitor has to be stopped.
func monitorLateness(ctx context.Context) *latenessMonitor {
	ctx, cancel := context.WithCancel(ctx)
	m := &latenessMonitor{cancel: cancel, done: make(chan struct{})}
	go m.measure(ctx)
	return m
}

func (m *latenessMonitor) measure(ctx context.Context) {
	defer close(m.done)
	for {
		due := time.Now().Add(latenessInterval)
		if !wait.For(ctx, latenessInterval) {
			return
		}
		m.max = max(m.max, time.Since(due))
	}
}

// stop ends the measuring, and returns the greatest lateness.
func (m *latenessMonitor) stop() time.Duration {
	m.cancel()
	<-m.done
	return m.max
}
