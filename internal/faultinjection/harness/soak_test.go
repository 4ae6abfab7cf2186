package harness

import (
	"fmt"
	"testing"

	"frostlink/internal/faultinjection/scenario"
)

const (
	// soakRelays, soakLength and soakSeeds keep the soak of each landing short; frostlinkctl scenario soak plays more of all.
	soakRelays = 24
	soakLength = 7
	soakSeeds  = 2

	// restartSoakLength leaves room for shutdowns that are killed when their time is up. Of two seeds, one has crowds, the other
	// handovers.
	restartSoakLength = 9

	// drawnSeeds are drawn, and each kind of fault has to be drawn so often among them.
	drawnSeeds = 200
	minDrawn   = 20
)

// Random faults that overlap upon two dozen relay processes break no rule and no invariant.
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

// Processes that are ended and replaced in all the ways of the platform, while clients go on using connections that are open, break no
// rule and no invariant. What is to happen in these runs did.
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
		t.Errorf("in no run: %v", missing)
	}
}

// Every seed draws a scenario that can be played, the same one each time, and all draw several kinds of fault.
func TestSoakScenario_IsPlayableAndVaried(t *testing.T) {
	kinds := map[string]int{}
	for seed := range int64(drawnSeeds) {
		text := scenario.SoakScenario(seed, 36, 9)
		if text != scenario.SoakScenario(seed, 36, 9) {
			t.Fatalf("seed %d draws two scenarios", seed)
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
		"pause", "register", "loss",
	} {
		if kinds[kind] < minDrawn {
			t.Errorf("%s is drawn %d times only", kind, kinds[kind])
		}
	}
}
