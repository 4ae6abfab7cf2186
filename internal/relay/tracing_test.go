package relay

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"frostlink/internal/trace/fleet"
	"frostlink/internal/wait/waittest"
)

// A relay with a trace records each event once: its start, watch requests and lists, accepted and rejected requests, attempts
// with their connections and load reports, and outcomes. A relay without a trace records nothing.
func TestTrace_RecordsEachEventOnce(t *testing.T) {
	for _, on := range []bool{true, false} {
		t.Run(fmt.Sprint("on ", on), func(t *testing.T) {
			p := newPlatform(t)
			if on {
				p.operatorPath = filepath.Join(t.TempDir(), "own.toml")
				if err := os.WriteFile(p.operatorPath, []byte("version = 1\n[trace]\nlog = true\n"), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			p.addEndpoint("h1", 7)
			attempts := 0
			p.responseHeader = map[string]string{"Server-Load": "x0=0.5,x1=25"}
			p.respond = func(*http.Request) int {
				if attempts++; attempts == 1 {
					return http.StatusServiceUnavailable
				}
				return http.StatusOK
			}
			c := p.start()
			// With 10 s of its 30 s left, a request is past its latency objective, however fast it is delivered.
			p.mustAccept("status", "a", "10")
			p.nextAttempt()
			p.nextAttempt()
			if resp := p.submit("status", "b", "10", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=9") }); resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("submission to a destination that no list names: %s", resp.Status)
			}
			p.mustAccept("status", "c", "10")
			p.nextAttempt()
			// A graceful shutdown leaves time for all outcomes to be recorded.
			if err := c.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := waittest.Receive(t, c.exited); err != nil {
				t.Fatal(err)
			}
			logs := &fleet.Logs{}
			if err := logs.Read("n1.log", c.Stderr.(*bytes.Buffer)); err != nil || len(logs.BadLines) > 0 {
				t.Fatal(err, logs.BadLines)
			}
			if !on {
				if len(logs.Events) > 0 {
					t.Errorf("%d events recorded, none wanted", len(logs.Events))
				}
				return
			}
			summary := fleet.Summarize(logs.Events)
			var sum fleet.Second
			for _, s := range summary.Seconds {
				sum.Starts += s.Starts
				sum.WatchRequests += s.WatchRequests
				sum.EndpointUpdates += s.EndpointUpdates
			}
			if summary.FleetSize < 1 || sum.Starts != 1 || sum.WatchRequests < 1 || sum.EndpointUpdates < 1 {
				t.Errorf("start, watch requests or lists are missing: fleet size %d, %+v", summary.FleetSize, sum)
			}
			got := summary.Total
			if got.NewConnections < 1 || got.NewConnections > 3 {
				t.Errorf("%d connections made for 3 attempts", got.NewConnections)
			}
			if got.NewConnections = 0; got != (fleet.Counts{Accepted: 2, FirstAttempts: 2, Retries: 1, OverLimit: 1, Delivered: 2, Rejected: 1, DeliveredLate: 2}) {
				t.Errorf("counted %+v", got)
			}
			for _, d := range summary.Destinations {
				if d.Number == 7 && (d.RateLimit != 25 || d.RemainingFraction != 0.5 || d.Endpoints != 1) {
					t.Errorf("destination 7: %+v", d)
				}
			}
		})
	}
}
