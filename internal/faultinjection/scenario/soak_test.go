package scenario

import "testing"

func TestSoakScenario_IsValid(t *testing.T) {
	for seed := range int64(20) {
		if _, err := Parse("soak", []byte(SoakScenario(seed, 10, 20))); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// The text of a soak of redeliveries is a valid scenario that a seed draws in the same way each time. It has rules that redeliver, and
// each of its destinations is slow for a while.
func TestRedeliverySoakScenario_IsValid(t *testing.T) {
	for seed := range int64(20) {
		text := RedeliverySoakScenario(seed, 4, 22)
		s, err := Parse("soak", []byte(text))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if text != RedeliverySoakScenario(seed, 4, 22) {
			t.Fatalf("seed %d gives two different scenarios", seed)
		}
		slow := 0
		for i := range s.Faults {
			if s.Faults[i].Kind == string(FaultSlowdown) {
				slow++
			}
		}
		if !s.Relay.Redelivers || s.Relay.Operator == "" || slow != redeliveryDestinations {
			t.Errorf("seed %d: redeliveries %v, %d slow destinations", seed, s.Relay.Redelivers, slow)
		}
	}
}

// The text of a soak of restarts is a valid scenario, and the scenarios of two consecutive seeds together have each way of ending a
// process.
func TestRestartSoakScenario_IsValidAndComplete(t *testing.T) {
	ways := map[string]int{}
	for seed := range int64(20) {
		text := RestartSoakScenario(seed, 24, 9)
		s, err := Parse("soak", []byte(text))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if text != RestartSoakScenario(seed, 24, 9) {
			t.Fatalf("seed %d gives two different scenarios", seed)
		}
		seen := map[string]bool{}
		for i := range s.Faults {
			f := &s.Faults[i]
			seen[f.Kind+" "+f.Signals] = true
			seen["again"] = seen["again"] || f.RestartAgain > 0
			seen["behind"] = seen["behind"] || f.AfterAcceptance
			seen[f.Errno] = true
		}
		for way := range seen {
			ways[way]++
		}
	}
	for way, want := range map[string]int{
		"term " + SignalsReload: 20, "term " + SignalsStuck: 20, "term " + SignalsStarting: 20, "term " + SignalsRepeated: 10,
		"upgrade " + SignalsHandover: 10, "upgrade ": 10, "crowd ": 10, "again": 20, "behind": 20, heldUpName: 20,
	} {
		if ways[way] < want {
			t.Errorf("%q is in %d of 20 scenarios, want at least %d", way, ways[way], want)
		}
	}
}

// Every seed draws a scenario of crowds that can be played, with a hostile crowd for each relay, and the same one each time.
func TestCrowdSoakScenario_IsPlayable(t *testing.T) {
	const relays = 5
	ends := map[FaultKind]int{}
	for seed := range int64(50) {
		text := CrowdSoakScenario(seed, relays, 9)
		if text != CrowdSoakScenario(seed, relays, 9) {
			t.Fatalf("seed %d draws a different scenario the second time", seed)
		}
		s, err := Parse("crowds.toml", []byte(text))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		crowds := 0
		for i := range s.Faults {
			if f := &s.Faults[i]; f.Kind == FaultCrowd && f.Hostile {
				crowds++
			} else {
				ends[f.Kind]++
			}
		}
		if crowds != relays {
			t.Errorf("seed %d: %d hostile crowds, want %d", seed, crowds, relays)
		}
	}
	for _, kind := range []FaultKind{FaultKill, FaultTerminate, FaultUpgrade} {
		if ends[kind] < 50 {
			t.Errorf("%s is drawn only %d times", kind, ends[kind])
		}
	}
}
