package harness

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"

	"frostlink/internal/faultinjection/scenario"
)

// soakRelays and soakLength keep the soak of each landing short; frostlinkctl rehearse soak plays more of both.
const (
	soakRelays = 24
	soakLength = 7
)

// Random faults that overlap upon two dozen relay processes break no rule and no invariant.
func TestSoak(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, "frostlink/cmd/frostlink").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for seed := range int64(2) {
		s, err := scenario.Parse("soak.toml", []byte(scenario.SoakScenario(seed, soakRelays, soakLength)))
		if err != nil {
			t.Fatal(err)
		}
		res := playScript(t, s, Options{Seed: seed, RelayCommand: []string{filepath.Join(dir, "frostlink")}})
		for _, b := range res.Violations {
			t.Errorf("seed %d: %+v", seed, b)
		}
		for _, f := range res.Failures {
			t.Errorf("seed %d: %s", seed, f)
		}
	}
}

// Every seed draws a script that can be played, the same one each time, and several kinds of fault are in it.
func TestSoakScripts(t *testing.T) {
	kinds := map[string]int{}
	for seed := range int64(200) {
		text := scenario.SoakScenario(seed, 36, 9)
		if text != scenario.SoakScenario(seed, 36, 9) {
			t.Fatalf("seed %d draws two scripts", seed)
		}
		s, err := scenario.Parse(fmt.Sprintf("soak-%d.toml", seed), []byte(text))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, e := range s.Faults {
			kinds[e.Kind]++
		}
	}
	for _, kind := range []string{
		"kill", "term", "hang", "clock_step", "syscall_errors", "disk_errors", "refuse", "silent", "reset", "slow",
		"pause", "register", "loss",
	} {
		if kinds[kind] < 20 {
			t.Errorf("%s is drawn %d times only", kind, kinds[kind])
		}
	}
}
