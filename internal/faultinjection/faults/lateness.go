package faults

import (
	"context"
	"time"

	"frostlink/internal/wait"
)

// latenessInterval is the duration of the timers whose lateness is measured.
const latenessInterval = 5 * time.Millisecond

// latenessMonitor measures how late the harness's own timers fire. Timers that fire very late show that the machine is too busy for a
// conclusive run.
type latenessMonitor struct {
	cancel context.CancelFunc
	done   chan struct{}
	max    time.Duration // may be read once done is closed
}

// monitorLateness starts a monitor, which has to be stopped.
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

// stop stops the monitor, and returns the greatest lateness that it measured.
func (m *latenessMonitor) stop() time.Duration {
	m.cancel()
	<-m.done
	return m.max
}
