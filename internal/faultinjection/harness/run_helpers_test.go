package harness

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"

	"frostlink/internal/faultinjection/scenario"
)

// maxPlays bounds how often a scenario is played again because the machine was too busy.
const maxPlays = 3

// buildRelay builds the real relay, and returns the program's path.
func buildRelay(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "frostlink")
	if out, err := exec.Command("go", "build", "-o", program, "frostlink/cmd/frostlink").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// playConclusive plays a scenario, and repeats the run if the machine was too busy for the run to prove anything.
func playConclusive(t *testing.T, s *scenario.Scenario, o Options) *Result {
	t.Helper()
	var result *Result
	for range maxPlays {
		var err error
		if result, err = Run(t.Context(), s, o); err != nil {
			t.Fatal(err)
		}
		if !result.Void {
			return result
		}
		t.Logf("void run: %.2f%% of %d events late, the latest by %v", 100*result.LateShare, result.Events, result.MaxLateness)
	}
	t.Fatalf("the machine was too busy: %.2f%% of events late", 100*result.LateShare)
	return nil
}

// loadScenario returns a scenario with one class, whose mean service time is serviceMS milliseconds, and a number of destinations
// without a rate limit, each with one endpoint that has the given number of slots and the given length of its queue.
func loadScenario(t *testing.T, rate, length float64, relays, destinations, slots, queue int, serviceMS float64) *scenario.Scenario {
	t.Helper()
	text := fmt.Sprintf(`version=1
name="load"
length_s=%v
relays=%d
[relay]
sockets=20000
slots=4000
hold=20000
[load]
rate=%v
[clients]
body_bytes=200
[[class]]
name="c"
aim_s=1
deadline_s=3
effect="safe"
service_ms=%v
`, length, relays, rate, serviceMS)
	for i := range destinations {
		text += fmt.Sprintf("[[partner]]\nname=\"p%d\"\nshare=1\nslots=%d\nqueue=%d\n", i, slots, queue)
	}
	s, err := scenario.Parse("load", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}
