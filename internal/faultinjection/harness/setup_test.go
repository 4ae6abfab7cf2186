package harness

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"frostlink/internal/faultinjection/scenario"
)

const (
	// concurrentRuns runs are opened at once, in each of addressRounds rounds, since a single round rarely shows an address that
	// two runs share.
	concurrentRuns = 20
	addressRounds  = 30
)

// manyRelaysScenario is a scenario whose runs need many addresses.
const manyRelaysScenario = `version = 1
name = "addresses"
length_s = 1
relays = 12

[load]
rate = 1

[[class]]
name = "status"
aim_s = 1
deadline_s = 3
effect = "safe"
service_ms = 20

[[partner]]
name = "other"
share = 1
`

// Concurrent runs, such as those of another test or of another user of the machine, never share an address: each relay can bind
// the addresses in its configuration.
func TestOpen_AssignsAddressesThatNoConcurrentRunHas(t *testing.T) {
	s, err := scenario.Parse("addresses.toml", []byte(manyRelaysScenario))
	if err != nil {
		t.Fatal(err)
	}
	for round := range addressRounds {
		t.Run(fmt.Sprint(round+1), func(t *testing.T) { openConcurrently(t, s) })
	}
}

// openConcurrently opens runs at once, and binds their relays' addresses only when every run has chosen its addresses, because
// conflicts are most likely in this order.
func openConcurrently(t *testing.T, s *scenario.Scenario) {
	t.Helper()
	var opening, binding sync.WaitGroup
	runs := make([]*harness, concurrentRuns)
	for i := range runs {
		runs[i] = newHarness(t.Context(), s, Options{Seed: 1}, t.TempDir())
		t.Cleanup(func() { runs[i].close(func() {}) })
		opening.Go(func() {
			if err := runs[i].open(); err != nil {
				t.Errorf("run %d: %v", i+1, err)
			}
		})
	}
	opening.Wait()
	for i, run := range runs {
		for _, r := range run.relays {
			binding.Go(func() { bindRelay(t, fmt.Sprintf("run %d: %s", i+1, r.name), r) })
		}
	}
	binding.Wait()
}

// bindRelay binds a relay's addresses as its process does, until the test ends.
func bindRelay(t *testing.T, name string, r *relay) {
	t.Helper()
	ln, err := net.Listen("tcp", r.listen)
	if err != nil {
		t.Errorf("%s: clients' address: %v", name, err)
		return
	}
	t.Cleanup(func() { _ = ln.Close() })
	udp, err := net.ListenPacket("udp", r.peer)
	if err != nil {
		t.Errorf("%s: peers' address: %v", name, err)
		return
	}
	t.Cleanup(func() { _ = udp.Close() })
}
