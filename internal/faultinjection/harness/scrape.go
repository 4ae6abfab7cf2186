package harness

import (
	"context"
	"fmt"
	"net"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/wait"
)

const (
	// scrapeInterval is the time between two reads of the metrics.
	scrapeInterval = 100 * time.Millisecond
	// idleCallerTime is how long a caller that sends nothing stays connected.
	idleCallerTime = 4 * time.Second
	// endTime is how long a process whose admin endpoint fails may take to end: it ends its connections before that.
	endTime = 100 * time.Millisecond
)

// scrape reads the relay's metrics repeatedly for a while. Meanwhile, callers connect to the admin endpoint and send nothing.
func (r *relay) scrape(d time.Duration, idleCallers int) {
	ctx, cancel := context.WithTimeout(r.h.ctx, d)
	defer cancel()
	for range idleCallers {
		r.h.background.Go(func() { r.holdIdleConn(ctx) })
	}
	for ctx.Err() == nil {
		if p := r.serving(); p != nil {
			ready := p.isReady() // before that it may not listen yet
			err := r.scrapeOnce(p)
			if err != nil && ready && r.serving() == p && !p.exitsWithin(endTime, ctx.Done()) && ctx.Err() == nil {
				r.recordFailure("the door, %v", err)
			}
		}
		wait.For(ctx, scrapeInterval)
	}
}

// scrapeOnce reads and records the metrics of a process.
func (r *relay) scrapeOnce(p *process) error {
	begun := time.Now()
	metrics, err := p.metrics()
	latency := time.Since(begun)
	r.mu.Lock()
	r.metricsLatencies = append(r.metricsLatencies, latency.Seconds())
	r.mu.Unlock()
	if err != nil {
		return fmt.Errorf("after %v: %w", latency, err)
	}
	r.h.record(checker.Event{Kind: checker.MetricsRead, Relay: r.number, Process: p.number, Metrics: metrics})
	return nil
}

// holdIdleConn connects to the relay's admin endpoint and sends nothing, again and again.
func (r *relay) holdIdleConn(ctx context.Context) {
	for ctx.Err() == nil {
		p := r.serving()
		if p == nil {
			wait.For(ctx, pollInterval)
			continue
		}
		conn, err := net.DialTimeout("tcp", p.adminAddr, adminTimeout)
		if err != nil {
			wait.For(ctx, pollInterval)
			continue
		}
		wait.For(ctx, idleCallerTime)
		_ = conn.Close()
	}
}
