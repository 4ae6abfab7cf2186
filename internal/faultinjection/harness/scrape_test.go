package harness

import (
	"testing"
	"time"
)

// A read of metrics that fails is a failure of a relay that serves, and not of one that is not ready yet or that ends.
func TestScrape_FailsOnlyForProcessThatServes(t *testing.T) {
	for _, tt := range []struct {
		name        string
		ready, ends bool
		wantFailure bool
	}{
		{"serving", true, false, true},
		{"not ready", false, false, false},
		{"ending", true, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t.Context(), loadScenario(t, 50, 5, 2, 1, 4, 4, 1), Options{Seed: 1}, t.TempDir())
			r := &relay{h: h, name: "relay"}
			p := &process{relay: r, adminAddr: "127.0.0.1:1", ready: tt.ready, exited: make(chan struct{})} // nothing listens there
			r.process = p
			if tt.ends {
				close(p.exited)
			}
			r.scrape(scrapeInterval+2*endTime+100*time.Millisecond, 0)
			if failed := len(h.failures) > 0; failed != tt.wantFailure {
				t.Errorf("failures %v, want some: %v", h.failures, tt.wantFailure)
			}
		})
	}
}
