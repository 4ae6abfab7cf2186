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
	// answerWithin is how long a door may take, and scrapeEvery the time between reads.
	answerWithin, scrapeEvery = time.Second, 100 * time.Millisecond
	// silentFor is how long a caller that says nothing stays.
	silentFor = 4 * time.Second
	// awayWithin after it was told to send clients away a relay has none of them left, and backWithin after it was told
	// to take them again its health is well.
	awayWithin, backWithin = 4 * time.Second, 2 * time.Second
	// yesWithin a new process has taken the place of the one before.
	yesWithin = 6 * time.Second
	// takenWithin a file is taken or turned down after the signal.
	takenWithin = 1200 * time.Millisecond
	// askEvery is between looks at a door that is to change its mind.
	askEvery = 20 * time.Millisecond
)

// ask calls a process's door.
func (p *process) ask(method, path string) (body []byte, err error) {
	ctx, cancel := context.WithTimeout(p.rel.r.ctx, answerWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.door+path, nil)
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

// figures reads a process's figures.
func (p *process) figures() (*checker.Scrape, error) {
	body, err := p.ask(http.MethodGet, "/status/metrics")
	if err != nil {
		return nil, err
	}
	f, in := &checker.Scrape{}, json.NewDecoder(bytes.NewReader(body))
	in.DisallowUnknownFields()
	return f, in.Decode(f)
}

// scrape reads a relay's figures for a while, beside callers that say nothing.
func (rel *relay) scrape(d time.Duration, silent int) {
	ctx, cancel := context.WithTimeout(rel.r.ctx, d)
	defer cancel()
	for range silent {
		rel.r.work.Go(func() { rel.sayNothing(ctx) })
	}
	for ctx.Err() == nil {
		if p := rel.serving(); p != nil {
			begun := time.Now()
			f, err := p.figures()
			rel.mu.Lock()
			rel.took = append(rel.took, time.Since(begun).Seconds())
			rel.mu.Unlock()
			switch {
			case err == nil:
				rel.r.note(checker.Event{Kind: checker.MetricsRead, Relay: rel.number, Process: p.number, Metrics: f})
			case rel.serving() == p && ctx.Err() == nil: // it did not end meanwhile
				rel.r.fault("%s: the door, after %v: %v", rel.name, time.Since(begun), err)
			}
		}
		wait.For(ctx, scrapeEvery)
	}
}

// sayNothing calls a door and says nothing, again and again.
func (rel *relay) sayNothing(ctx context.Context) {
	for ctx.Err() == nil {
		p := rel.serving()
		if p == nil {
			wait.For(ctx, askEvery)
			continue
		}
		c, err := net.DialTimeout("tcp", p.door, answerWithin)
		if err != nil {
			wait.For(ctx, askEvery)
			continue
		}
		wait.For(ctx, silentFor)
		_ = c.Close()
	}
}

// health asks a relay for its health as the front does.
func (rel *relay) health() (int, error) {
	ctx, cancel := context.WithTimeout(rel.r.ctx, answerWithin)
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
		rel.r.fault("%s: standby: it does not run", rel.name)
		return
	}
	if _, err := p.ask(http.MethodPost, "/standby"); err != nil {
		rel.r.fault("%s: %v", rel.name, err)
		return
	}
	if status, err := rel.health(); err == nil && status == http.StatusOK {
		rel.r.fault("%s: its health is well, though it was told to send clients away", rel.name)
	}
	rel.r.front.leaves(rel.number, frontDrains)
	if wait.For(rel.r.ctx, min(d, awayWithin)); d >= awayWithin {
		if n := rel.r.clients.openAt(rel.listen); n > 0 {
			rel.r.fault("%s: %d idle connections of clients are open %v after standby", rel.name, n, awayWithin)
		}
		wait.For(rel.r.ctx, d-awayWithin)
	}
	if p = rel.serving(); p == nil { // replaced, and it ended
		return
	}
	if _, err := p.ask(http.MethodPost, "/active"); err != nil {
		rel.r.fault("%s: %v", rel.name, err)
	}
	if !rel.within(backWithin, func() bool { status, err := rel.health(); return err == nil && status == http.StatusOK }) {
		rel.r.fault("%s: its health is not well %v after it was told to take clients again", rel.name, backWithin)
		return
	}
	rel.r.front.ready(rel.number)
}

// within waits for something to come true.
func (rel *relay) within(d time.Duration, holds func() bool) bool {
	until := time.Now().Add(d)
	for !holds() {
		if time.Now().After(until) || !wait.For(rel.r.ctx, askEvery) {
			return false
		}
	}
	return true
}

// settings brings a relay new settings, or a file that can't be used.
func (rel *relay) settings(e *scenario.Event) {
	p := rel.serving()
	if p == nil {
		return // its next process reads what there is then
	}
	before, err := p.figures()
	if err != nil {
		rel.r.fault("%s: %v", rel.name, err)
		return
	}
	rel.mu.Lock()
	old := rel.terms
	rel.terms = old.After(e)
	rel.mu.Unlock()
	if err := rel.configure(); err != nil {
		rel.r.fault("%s: %v", rel.name, err)
		return
	}
	if e.Broken != "" {
		if err := spoil(rel.configPath(), e.Broken); err != nil {
			rel.r.fault("%s: %v", rel.name, err)
		}
	}
	rel.signal(syscall.SIGHUP, false)
	want, of := before.ReconfigOK+1, func(f *checker.Scrape) int { return f.ReconfigOK }
	if e.Broken != "" {
		want, of = before.ReconfigFailed+1, func(f *checker.Scrape) int { return f.ReconfigFailed }
	}
	if !rel.within(takenWithin, func() bool { f, err := p.figures(); return err == nil && of(f) == want }) && rel.serving() == p {
		rel.r.fault("%s: its figures do not say that a file (broken: %q) was read", rel.name, e.Broken)
	}
	if e.Broken == "" {
		return
	}
	rel.mu.Lock()
	rel.terms = old
	rel.mu.Unlock()
	if err := rel.configure(); err != nil { // for the next process
		rel.r.fault("%s: %v", rel.name, err)
	}
}

// spoil breaks a configuration file.
func spoil(path, how string) error {
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
		rel.r.fault("%s: upgrade: it does not run", rel.name)
		return
	}
	if err := rel.configure(); err != nil {
		rel.r.fault("%v", err)
		return
	}
	next, err := rel.launch(true)
	if err != nil {
		rel.r.fault("%v", err)
		return
	}
	takes := func() bool { _, err := next.ask(http.MethodGet, "/status"); return err == nil }
	if !rel.within(yesWithin, takes) {
		rel.r.fault("%s: the process that is to take over does not say yes; its log ends: %s", rel.name, rel.lastWords())
		next.signal(syscall.SIGKILL, true)
		return
	}
	rel.r.note(checker.Event{Kind: checker.Ready, Relay: rel.number, Process: next.number})
	rel.mu.Lock()
	rel.process, next.beside, old.replaced = next, false, true
	rel.mu.Unlock()
	old.signal(syscall.SIGTERM, true)
	select {
	case <-old.exited:
	case <-time.After(killAfter):
		old.signal(syscall.SIGKILL, true)
	case <-rel.r.ctx.Done():
	}
}
