package harness

import (
	"fmt"
	"testing"

	"frostlink/internal/faultinjection/scenario"
)

const (
	// soakRelays, soakLength (in seconds) and soakSeeds keep the soak in this test short; the command frostlinkctl scenario soak
	// plays more relays, longer runs and more seeds.
	soakRelays = 24
	soakLength = 7
	soakSeeds  = 2

	// restartSoakLength, in seconds, is long enough for shutdowns that are killed at the end of their grace period. Of the two
	// seeds, one has crowds and the other has hand-overs.
	restartSoakLength = 9

	// drawnSeeds is the number of seeds whose scenarios are drawn, and minDrawn how often these scenarios have to contain each
	// kind of fault.
	drawnSeeds = 200
	minDrawn   = 20
)

// Random overlapping faults of two dozen relay processes break no rule and no invariant.
func TestRelays_TolerateRandomFaults(t *testing.T) {
	program := buildRelay(t)
	for seed := range int64(soakSeeds) {
		s, err := scenario.Parse("soak.toml", []byte(scenario.SoakScenario(seed, soakRelays, soakLength)))
		if err != nil {
			t.Fatal(err)
		}
		result := playConclusive(t, s, Options{Seed: seed, RelayCommand: []string{program}})
		for _, v := range result.Violations {
			t.Errorf("seed %d: %+v", seed, v)
		}
		for _, f := range result.Failures {
			t.Errorf("seed %d: %s", seed, f)
		}
	}
}

// Processes that are ended and replaced in every way that the platform uses, while clients keep using open connections, break no
// rule and no invariant. The runs together contain every occurrence that they have to contain.
func TestRelays_TolerateRestartsOfThePlatform(t *testing.T) {
	program := buildRelay(t)
	var occurred []map[Occurrence]int
	for seed := range int64(soakSeeds) {
		s, err := scenario.Parse("soak.toml", []byte(scenario.RestartSoakScenario(seed, soakRelays, restartSoakLength)))
		if err != nil {
			t.Fatal(err)
		}
		result := playConclusive(t, s, Options{Seed: seed, RelayCommand: []string{program}})
		t.Logf("seed %d: %v", seed, result.Occurred)
		occurred = append(occurred, result.Occurred)
		for _, v := range result.Violations {
			t.Errorf("seed %d: %+v", seed, v)
		}
		for _, f := range result.Failures {
			t.Errorf("seed %d: %s", seed, f)
		}
	}
	if missing := Missing(occurred...); len(missing) > 0 {
		t.Errorf("occurrences that no run contained: %v", missing)
	}
}

// Every seed draws a scenario that can be played, and the same one each time. Together, the seeds draw all kinds of fault often
// enough.
func TestSoakScenario_IsPlayableAndVaried(t *testing.T) {
	kinds := map[string]int{}
	for seed := range int64(drawnSeeds) {
		text := scenario.SoakScenario(seed, 36, 9)
		if text != scenario.SoakScenario(seed, 36, 9) {
			t.Fatalf("seed %d draws a different scenario the second time", seed)
		}
		s, err := scenario.Parse(fmt.Sprintf("soak-%d.toml", seed), []byte(text))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for i := range s.Faults {
			kinds[s.Faults[i].Kind]++
		}
	}
	for _, kind := range []string{
		"kill", "term", "hang", "clock_step", "syscall_errors", "disk_errors", "refuse", "silent", "reset", "slow",
		"pause", "register", "loss", "extra_response", "early_end",
	} {
		if kinds[kind] < minDrawn {
			t.Errorf("%s is drawn only %d times", kind, kinds[kind])
		}
	}
}
