package relay

import (
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
)

// Settings are replaced while the relay runs: an added class is served, a removed class is unknown to clients while its accepted
// requests keep their terms, even after a kill, and broken files change nothing and are counted.
func TestReload_AppliesNewSettings(t *testing.T) {
	p := newPlatform(t)
	p.addAdminEndpoint()
	p.addEndpoint("h1", 7)
	p.respond = func(*http.Request) int { return 0 }
	c := p.start()
	good := readFile(t, p.configPath)
	p.mustAccept("order", "old", "25")      // not idempotent, and in flight
	p.mustAccept("status", "retried", "25") // may be retried by its terms, which the journal keeps
	p.nextAttempt()
	p.nextAttempt()

	broken := map[string]string{
		"empty":                "",
		"cut off":              good[:len(good)/2],
		"no deadline":          strings.Replace(good, `"deadline_s":30`, `"deadline_s":0`, 1),
		"negative":             strings.Replace(good, `"deadline_s":30`, `"deadline_s":-5`, 1),
		"not a number":         strings.Replace(good, `"deadline_s":30`, `"deadline_s":"soon"`, 1),
		"too large":            strings.Replace(good, `"deadline_s":30`, `"deadline_s":1e300`, 1),
		"no attempts":          strings.Replace(good, `"max_attempts":12`, `"max_attempts":0`, 1),
		"a key is missing":     strings.Replace(good, `"ramp_time_s":10`, `"ramp":10`, 1),
		"a class lacks a key":  strings.Replace(good, `"aim_s":2,`, ``, 1),
		"no address":           regexp.MustCompile(`"listen":"[^"]*"`).ReplaceAllString(good, `"listen":"nowhere"`),
		"no admin address":     strings.Replace(good, `"management":"`, `"management":"x`, 1),
		"a class twice":        strings.Replace(good, `"name":"order"`, `"name":"status"`, 1),
		"unknown idempotency":  strings.Replace(good, "fragile", "fragrant", 1),
		"a class without name": strings.Replace(good, `"name":"order"`, `"name":""`, 1),
	}
	for name, text := range broken {
		if text == good {
			t.Fatalf("%s: nothing is broken", name)
		}
		// A broken file must not be applied in part either: its renamed class stays unknown.
		p.reloadConfig(c, strings.Replace(text, `"name":"payment"`, `"name":"payment-x"`, 1), false)
		if resp := p.submit("payment-x", name, "25"); resp.StatusCode != http.StatusNotFound {
			t.Errorf("%s: submission to a class of a broken file: %s", name, resp.Status)
		}
	}

	renamed := func(text string) string {
		return strings.NewReplacer(`"name":"order"`, `"name":"order-ii"`, `"name":"status"`, `"name":"status-ii"`).Replace(text)
	}
	p.reloadConfig(c, renamed(good), true)
	if resp := p.submit("order", "late", "25"); resp.StatusCode != http.StatusNotFound {
		t.Errorf("submission to a removed class: %s", resp.Status)
	}
	p.mustAccept("order-ii", "new", "25")
	p.nextAttempt()
	p.kill(c)
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	p.changeSettings = renamed
	p.start()
	// All three requests were in flight. The two that are not idempotent fail; the idempotent one is retried, although its class
	// was removed.
	p.waitFor("all three requests have their outcome", func() bool { return len(p.receivedNotices()) == 2 && len(readEntries(t, p.dir)) == 0 })
	if got := p.attempts(); len(got) != 4 {
		t.Errorf("attempts %v, want one for each request, and a second attempt for the idempotent one", got)
	}
	if f := p.metrics(); f.Failure["order"] != 1 || f.Failure["order-ii"] != 1 || f.Success["status"] != 1 || f.Inflight != 0 {
		t.Errorf("metrics %+v", f)
	}
}

// SIGHUP moves the watch, which then asks for the full list, and the posts of notices to the discovery service that the new
// configuration names. With a configuration that can't be used, SIGHUP changes nothing.
func TestReload_MovesToAnotherDiscovery(t *testing.T) {
	p := newPlatform(t)
	p.addEndpoint("h1", 7)
	old := strings.TrimPrefix(p.discovery.URL, "http://")
	p.respond = func(*http.Request) int { return 0 }
	p.failingPosts = 1 << 30
	c := p.start()
	p.waitFor("the watch is open", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.watches) == 1
	})
	sendHangup := func() {
		t.Helper()
		if err := c.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(p.configPath, []byte(`{"discovery":`), 0o600); err != nil {
		t.Fatal(err)
	}
	sendHangup()
	p.mustAccept("order", "m", "0.4") // posts of its notice fail until the move
	p.waitFor("the notice is pending", func() bool {
		e := readEntries(t, p.dir)
		return len(e) == 1 && e[0].PendingNotice != nil
	})
	if w := p.watches; len(w) != 1 {
		t.Fatalf("watches after an unreadable configuration: %v", w)
	}
	addr := p.addDiscovery()
	p.writeConfig()
	sendHangup()
	p.waitFor("the watch and the notices have moved", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !slices.Contains(p.endedWatches, old) {
			return false
		}
		p.failingPosts = 0 // not earlier, as the old discovery service must not receive the notice
		return len(p.notices) > 0
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.watches; len(w) != 2 || !strings.HasPrefix(w[1], addr) || !strings.Contains(w[1], "index=0") {
		t.Errorf("watches: %v, want a second one at %s for the full list", w, addr)
	}
	if !slices.Equal(p.noticeAddrs, []string{addr}) {
		t.Errorf("notices were posted to %v, want %s", p.noticeAddrs, addr)
	}
	select {
	case err := <-c.exited:
		t.Errorf("the relay has ended: %v", err)
	default:
	}
}
