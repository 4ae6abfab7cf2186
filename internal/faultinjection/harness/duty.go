package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/wait"
)

// This file is what the operators do to relays day by day: they read figures, send clients away, bring new settings and
// replace processes.

const (
	// adminTimeout is how long a door may take, and scrapeEvery the time between reads.
	adminTimeout, scrapeInterval = time.Second, 100 * time.Millisecond
	// idleCallerTime is how long a caller that says nothing stays.
	idleCallerTime = 4 * time.Second
	// standbyTimeout after it was told to send clients away a relay has none of them left, and backWithin after it was told
	// to take them again its health is well.
	standbyTimeout, activeTimeout = 4 * time.Second, 2 * time.Second
	// takeoverTimeout a new process has taken the place of the one before.
	takeoverTimeout = 6 * time.Second
	// reloadTimeout a file is taken or turned down after the signal.
	reloadTimeout = 1200 * time.Millisecond
	// pollInterval is between looks at a door that is to change its mind.
	pollInterval = 20 * time.Millisecond
)

// adminRequest calls a process's door.
func (p *process) adminRequest(method, path string) (body []byte, err error) {
	ctx, cancel := context.WithTimeout(p.relay.h.ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.adminAddr+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if body, err = io.ReadAll(resp.Body); err != nil {
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s %s: %s", method, path, resp.Status)
	}
	return body, nil
}

// metrics reads a process's figures.
func (p *process) metrics() (*checker.Scrape, error) {
	body, err := p.adminRequest(http.MethodGet, "/status/metrics")
	if err != nil {
		return nil, err
	}
	f, in := &checker.Scrape{}, json.NewDecoder(bytes.NewReader(body))
	in.DisallowUnknownFields()
	return f, in.Decode(f)
}

// scrape reads a relay's figures for a while, beside callers that say nothing.
func (rel *relay) scrape(d time.Duration, silent int) {
	ctx, cancel := context.WithTimeout(rel.h.ctx, d)
	defer cancel()
	for range silent {
		rel.h.background.Go(func() { rel.holdIdleConn(ctx) })
	}
	for ctx.Err() == nil {
		if p := rel.serving(); p != nil {
			begun := time.Now()
			f, err := p.metrics()
			rel.mu.Lock()
			rel.adminLatencies = append(rel.adminLatencies, time.Since(begun).Seconds())
			rel.mu.Unlock()
			switch {
			case err == nil:
				rel.h.record(checker.Event{Kind: checker.MetricsRead, Relay: rel.number, Process: p.number, Metrics: f})
			case rel.serving() == p && ctx.Err() == nil: // it did not end meanwhile
				rel.h.recordFailure("%s: the door, after %v: %v", rel.name, time.Since(begun), err)
			}
		}
		wait.For(ctx, scrapeInterval)
	}
}

// holdIdleConn calls a door and says nothing, again and again.
func (rel *relay) holdIdleConn(ctx context.Context) {
	for ctx.Err() == nil {
		p := rel.serving()
		if p == nil {
			wait.For(ctx, pollInterval)
			continue
		}
		c, err := net.DialTimeout("tcp", p.adminAddr, adminTimeout)
		if err != nil {
			wait.For(ctx, pollInterval)
			continue
		}
		wait.For(ctx, idleCallerTime)
		_ = c.Close()
	}
}

// health asks a relay for its health as the front does.
func (rel *relay) health() (int, error) {
	ctx, cancel := context.WithTimeout(rel.h.ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+rel.listen+"/_health", nil)
	if err != nil {
		return 0, err
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// standby has a relay send its clients away for a while.
func (rel *relay) standby(d time.Duration) {
	p := rel.serving()
	if p == nil {
		rel.h.recordFailure("%s: standby: it does not run", rel.name)
		return
	}
	if _, err := p.adminRequest(http.MethodPost, "/standby"); err != nil {
		rel.h.recordFailure("%s: %v", rel.name, err)
		return
	}
	if status, err := rel.health(); err == nil && status == http.StatusOK {
		rel.h.recordFailure("%s: its health is well, though it was told to send clients away", rel.name)
	}
	rel.h.balancer.relayLeaving(rel.number, balancerDrainTime)
	if wait.For(rel.h.ctx, min(d, standbyTimeout)); d >= standbyTimeout {
		if n := rel.h.clients.openConns(rel.listen); n > 0 {
			rel.h.recordFailure("%s: %d idle connections of clients are open %v after standby", rel.name, n, standbyTimeout)
		}
		wait.For(rel.h.ctx, d-standbyTimeout)
	}
	if p = rel.serving(); p == nil { // replaced, and it ended
		return
	}
	if _, err := p.adminRequest(http.MethodPost, "/active"); err != nil {
		rel.h.recordFailure("%s: %v", rel.name, err)
	}
	if !rel.within(activeTimeout, func() bool { status, err := rel.health(); return err == nil && status == http.StatusOK }) {
		rel.h.recordFailure("%s: its health is not well %v after it was told to take clients again", rel.name, activeTimeout)
		return
	}
	rel.h.balancer.relayReady(rel.number)
}

// within waits for something to come true.
func (rel *relay) within(d time.Duration, holds func() bool) bool {
	until := time.Now().Add(d)
	for !holds() {
		if time.Now().After(until) || !wait.For(rel.h.ctx, pollInterval) {
			return false
		}
	}
	return true
}

// applySettings brings a relay new settings, or a file that can't be used.
func (rel *relay) applySettings(e *scenario.Fault) {
	p := rel.serving()
	if p == nil {
		return // its next process reads what there is then
	}
	before, err := p.metrics()
	if err != nil {
		rel.h.recordFailure("%s: %v", rel.name, err)
		return
	}
	rel.mu.Lock()
	old := rel.settingsInForce
	rel.settingsInForce = old.With(e)
	rel.mu.Unlock()
	if err := rel.configure(); err != nil {
		rel.h.recordFailure("%s: %v", rel.name, err)
		return
	}
	if e.Corruption != "" {
		if err := corruptConfig(rel.configPath(), e.Corruption); err != nil {
			rel.h.recordFailure("%s: %v", rel.name, err)
		}
	}
	rel.signal(syscall.SIGHUP, false)
	want, of := before.ReconfigOK+1, func(f *checker.Scrape) int { return f.ReconfigOK }
	if e.Corruption != "" {
		want, of = before.ReconfigFailed+1, func(f *checker.Scrape) int { return f.ReconfigFailed }
	}
	if !rel.within(reloadTimeout, func() bool { f, err := p.metrics(); return err == nil && of(f) == want }) && rel.serving() == p {
		rel.h.recordFailure("%s: its figures do not say that a file (broken: %q) was read", rel.name, e.Corruption)
	}
	if e.Corruption == "" {
		return
	}
	rel.mu.Lock()
	rel.settingsInForce = old
	rel.mu.Unlock()
	if err := rel.configure(); err != nil { // for the next process
		rel.h.recordFailure("%s: %v", rel.name, err)
	}
}

// corruptConfig breaks a configuration file.
func corruptConfig(path, how string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	switch how {
	case "empty":
		raw = nil
	case "cut":
		raw = raw[:len(raw)*2/3]
	case "lacking":
		raw = bytes.Replace(raw, []byte(`"max_attempts"`), []byte(`"most_attempts"`), 1)
	case "zero":
		raw = bytes.Replace(raw, []byte(`"deadline_s":`), []byte(`"deadline_s": 0, "was":`), 1)
	}
	next := path + ".next"
	return errors.Join(os.WriteFile(next, raw, 0o600), os.Rename(next, path))
}

// upgrade replaces a relay's process while it serves: the new one is started beside it, and the old one told to end when
// the new one says that it takes clients.
func (rel *relay) upgrade() {
	old := rel.serving()
	if old == nil {
		rel.h.recordFailure("%s: upgrade: it does not run", rel.name)
		return
	}
	if err := rel.configure(); err != nil {
		rel.h.recordFailure("%v", err)
		return
	}
	next, err := rel.launch(true)
	if err != nil {
		rel.h.recordFailure("%v", err)
		return
	}
	takes := func() bool { _, err := next.adminRequest(http.MethodGet, "/status"); return err == nil }
	if !rel.within(takeoverTimeout, takes) {
		rel.h.recordFailure("%s: the process that is to take over does not say yes; its log ends: %s", rel.name, rel.logTail())
		next.signal(syscall.SIGKILL, true)
		return
	}
	rel.h.record(checker.Event{Kind: checker.Ready, Relay: rel.number, Process: next.number})
	rel.mu.Lock()
	rel.process, next.standingBy, old.replaced = next, false, true
	rel.mu.Unlock()
	old.signal(syscall.SIGTERM, true)
	select {
	case <-old.exited:
	case <-time.After(shutdownGrace):
		old.signal(syscall.SIGKILL, true)
	case <-rel.h.ctx.Done():
	}
}
