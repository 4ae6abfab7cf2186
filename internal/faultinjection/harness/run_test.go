package harness

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
)

const (
	// minDelivered is the least number of deliveries of a stand-in relay that did its work.
	minDelivered = 20
	// maxUnrulyTime bounds a run of a few seconds with relays that do not end by themselves.
	maxUnrulyTime = 30 * time.Second
	// failedStartTimeout bounds a run whose relays do not start.
	failedStartTimeout = 20 * time.Second
)

// plantedScenario is the scenario of the runs in which stand-in relays break rules. It has an idempotent class, a class that is
// idempotent by key, a class that is not idempotent, and an ordered class. Its destinations are, in this order, a destination that
// drops responses and has an endpoint that drains, a destination that rejects with a Retry-After, a destination that has an outage,
// and a destination without faults.
const plantedScenario = `version = 1
name = "planted"
length_s = 4
relays = 1

[limits]
retry_after_s = 1

[relay]
resends = true

[rules]
answer_slack_s = 1.5
overload_for_s = 1.5

[register]
lag_s = 0.1

[clients]
retries = 0
answer_ms = 2000

[load]
rate = 30

[[class]]
name = "status"
aim_s = 1
deadline_s = 3
effect = "safe"
subjects = 2
service_ms = 150
spread = "fixed"

[[class]]
name = "payment"
aim_s = 1
deadline_s = 3
effect = "keyed"
memory_s = 0.8
service_ms = 20

[[class]]
name = "order"
share = 0.3
aim_s = 1
deadline_s = 3
effect = "unsafe"
service_ms = 20

[[class]]
name = "lined"
share = 0.6
aim_s = 1
deadline_s = 3
effect = "safe"
ordered = true
keys = 3
service_ms = 60

[[partner]]
name = "drops"
share = 1
endpoints = 2
slots = 8
queue = 50

[[partner]]
name = "waits"
share = 1
endpoints = 2
slots = 8
queue = 50
limit = { count = 2, span_s = 0.7 }
tells = "wait"

[[partner]]
name = "falls"
share = 1
slots = 1
queue = 0
pace = 4
fallen_for_s = 2

[[partner]]
name = "other"
share = 0.2

[[event]]
at_s = 0.5
what = "reset"
partner = "drops"
share = 0.5
for_s = 9

[[event]]
at_s = 0.8
what = "drain"
partner = "drops"
endpoint = 2
drain_s = 20

[[event]]
at_s = 0.5
what = "shut"
partner = "falls"
for_s = 1.5
`

// unrulyScenario shuts one relay down gracefully, and suspends the other until the end of the run.
const unrulyScenario = `version = 1
name = "unruly"
length_s = 3
relays = 2
[load]
rate = 20
[[class]]
name = "status"
aim_s = 1
deadline_s = 2
effect = "safe"
service_ms = 20
[[partner]]
name = "p"
share = 1
[[event]]
at_s = 1
what = "term"
relay = 1
[[event]]
at_s = 2
what = "hang"
relay = 2
for_s = 60
`

// playStandIn plays a scenario against stand-in relays with one misbehavior. If the test fails, it shows the first relay's log.
func playStandIn(t *testing.T, text, misbehavior string) *Result {
	t.Helper()
	s, err := scenario.Parse("planted.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	logs := t.TempDir()
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		log, err := os.ReadFile(filepath.Join(logs, "relay-1.log"))
		t.Logf("the log of relay 1: %.2000s (%v)", log, err)
	})
	result, err := Run(t.Context(), s, Options{
		Seed: 1, RelayCommand: []string{program}, Env: []string{standInEnv + "=" + misbehavior}, KeepDir: logs,
	})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// Each stand-in relay breaks one rule on real sockets, or none, and the run has to report that rule and no other.
func TestRun_ReportsEachPlantedViolation(t *testing.T) {
	for misbehavior, rule := range map[string]checker.Rule{
		"loses":          checker.OutcomeMissing,
		"ends late":      checker.OutcomeMissing, // the outcome is so late that it counts as missing
		"ends twice":     checker.OutcomeTwice,
		"doubles":        checker.ExecutedTwice,
		"two copies":     checker.ConcurrentAttempts,
		"ignores drains": checker.DrainBroken,
		"pushes over":    checker.DestinationOverloaded,
		"out of order":   checker.OrderBroken,
		"ignores waits":  checker.RetryAfterIgnored,
		"wrong host":     checker.WrongDestination,
		"resends":        checker.ExecutedTwice,
		// Guards against a judge that does not see what review/1 shows: a redelivery that is sent after its key's TTL.
		"resends past the key": checker.ExecutedTwice,
		"overwrites":           checker.Overwritten,
		"makes up ids":         checker.UnknownRequest,
		"keeps":                "",
		"edges":                "",
	} {
		t.Run(misbehavior, func(t *testing.T) {
			t.Parallel()
			result := playStandIn(t, plantedScenario, misbehavior)
			found := map[checker.Rule]int{}
			for _, v := range result.Violations {
				found[v.Rule]++
			}
			switch {
			case rule == "" && len(found) > 0:
				t.Errorf("the stand-in broke no rule, but the run reported %v, first %+v", found, result.Violations[0])
			case rule != "" && (found[rule] == 0 || len(found) != 1):
				t.Errorf("the stand-in broke %q, but the run reported %v", rule, found)
				for _, v := range result.Violations {
					if v.Rule != rule {
						t.Errorf("first violation of another rule: %+v", v)
						break
					}
				}
			}
			if len(result.Failures) > 0 {
				t.Errorf("failures %v", result.Failures)
			}
			if result.Counts.Delivered < minDelivered {
				t.Errorf("only %d messages delivered: the stand-in did not work", result.Counts.Delivered)
			}
		})
	}
}

// A relay that crashes, does not answer or ignores SIGTERM does not make the run hang, and the run leaves no process and no file
// behind.
func TestRun_EndsWithUnrulyRelays(t *testing.T) {
	for _, misbehavior := range []string{"crashes", "mute", "stubborn"} {
		t.Run(misbehavior, func(t *testing.T) {
			dir := t.TempDir()
			t.Setenv("TMPDIR", dir)
			begun := time.Now()
			result := playStandIn(t, unrulyScenario, misbehavior)
			if took := time.Since(begun); took > maxUnrulyTime {
				t.Errorf("the run took %v", took)
			}
			crashed := strings.Contains(strings.Join(result.Failures, "\n"), "ended without being asked to")
			if crashed != (misbehavior == "crashes") {
				t.Errorf("failures %v", result.Failures)
			}
			left, err := filepath.Glob(filepath.Join(dir, "rehearsal-*"))
			if err != nil {
				t.Fatal(err)
			}
			if len(left) > 0 {
				t.Errorf("files left behind: %v", left)
			}
			if alive := countChildren(t); alive > 0 {
				t.Errorf("%d processes left behind", alive)
			}
		})
	}
}

// countChildren returns the number of this process's child processes that still exist.
func countChildren(t *testing.T) (n int) {
	t.Helper()
	tasks, err := filepath.Glob(filepath.Join("/proc", "self", "task", "*", "children"))
	if err != nil || len(tasks) == 0 {
		t.Fatalf("list child processes: %v", err)
	}
	for _, path := range tasks {
		raw, _ := os.ReadFile(path) // a thread may have ended
		n += len(strings.Fields(string(raw)))
	}
	return n
}

// A relay that never becomes ready or ends at once, and a program that does not exist, give an error and no verdict.
func TestRun_FailsIfRelaysDoNotStart(t *testing.T) {
	text := strings.Replace(plantedScenario, "[relay]\n", "[relay]\nready_within_s = 1\n", 1)
	s, err := scenario.Parse("planted.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, command := range [][]string{{"/bin/sleep", "60"}, {"/bin/false"}, {"/does/not/exist"}} {
		t.Run(command[0], func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), failedStartTimeout)
			defer cancel()
			if _, err := Run(ctx, s, Options{RelayCommand: command}); err == nil || ctx.Err() != nil {
				t.Errorf("error %v", err)
			}
		})
	}
}
