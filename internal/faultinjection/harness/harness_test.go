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

// planted is what all stand-in relays are played against: a safe, a keyed, an unsafe and an ordered class; a partner
// that drops answers and of which an endpoint drains, one that tells waits, one that is out for a while, and another.
const planted = `version = 1
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

func play(t *testing.T, text, kind string) (*Result, error) {
	t.Helper()
	s, err := scenario.Parse("planted.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	own, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	keep := t.TempDir()
	res, err := Run(t.Context(), s, Options{Seed: 1, RelayCommand: []string{own}, Env: []string{standInEnv + "=" + kind}, KeepDir: keep})
	t.Cleanup(func() {
		if t.Failed() {
			raw, _ := os.ReadFile(filepath.Join(keep, "relay-1.log"))
			t.Logf("its log: %.2000s", raw)
		}
	})
	return res, err
}

// Each rule is broken by a stand-in relay on real sockets, and the run has to report that rule and no other.
func TestPlantedBreaches(t *testing.T) {
	for kind, rule := range map[string]checker.Rule{
		"loses":          checker.OutcomeMissing,
		"ends late":      checker.OutcomeMissing, // so late that it is none
		"ends twice":     checker.OutcomeTwice,
		"doubles":        checker.ExecutedTwice,
		"two copies":     checker.ConcurrentAttempts,
		"ignores drains": checker.DrainBroken,
		"pushes over":    checker.DestinationOverloaded,
		"out of order":   checker.OrderBroken,
		"ignores waits":  checker.RetryAfterIgnored,
		"wrong host":     checker.WrongDestination,
		"resends":        checker.ExecutedTwice,
		"overwrites":     checker.Overwritten,
		"makes up ids":   checker.UnknownRequest,
		"keeps":          "",
		"edges":          "",
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			res, err := play(t, planted, kind)
			if err != nil {
				t.Fatal(err)
			}
			found := map[checker.Rule]int{}
			for _, b := range res.Violations {
				found[b.Rule]++
			}
			switch {
			case rule == "" && len(found) > 0:
				t.Errorf("rules kept, reported %v, first %+v", found, res.Violations[0])
			case rule != "" && (found[rule] == 0 || len(found) != 1):
				t.Errorf("broken: %q; reported %v", rule, found)
				for _, b := range res.Violations {
					if b.Rule != rule {
						t.Errorf("first other: %+v", b)
						break
					}
				}
			}
			if len(res.Failures) > 0 {
				t.Errorf("faults %v", res.Failures)
			}
			if res.Counts.Delivered < 20 {
				t.Errorf("only %d delivered: the stand-in did not do its job", res.Counts.Delivered)
			}
		})
	}
}

// A relay that crashes, answers nobody or does not end when told to must not hang the rig, which leaves no process
// and no file behind.
func TestUnrulyRelaysDoNotHangTheRig(t *testing.T) {
	const text = `version = 1
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
	for _, kind := range []string{"crashes", "mute", "stubborn"} {
		t.Run(kind, func(t *testing.T) {
			dir := t.TempDir()
			t.Setenv("TMPDIR", dir)
			begun := time.Now()
			res, err := play(t, text, kind)
			if err != nil {
				t.Fatal(err)
			}
			if took := time.Since(begun); took > 30*time.Second {
				t.Errorf("took %v", took)
			}
			if crashed := strings.Contains(strings.Join(res.Failures, "\n"), "ended without being asked to"); crashed != (kind == "crashes") {
				t.Errorf("faults %v", res.Failures)
			}
			if left, _ := filepath.Glob(filepath.Join(dir, "rehearsal-*")); len(left) > 0 {
				t.Errorf("left behind: %v", left)
			}
			if alive := children(t); alive > 0 {
				t.Errorf("%d processes left behind", alive)
			}
		})
	}
}

// children counts the processes that this one started and that are there still.
func children(t *testing.T) (n int) {
	t.Helper()
	tasks, err := filepath.Glob(filepath.Join("/proc", "self", "task", "*", "children"))
	if err != nil || len(tasks) == 0 {
		t.Fatalf("no list of children: %v", err)
	}
	for _, path := range tasks {
		raw, _ := os.ReadFile(path) // a thread may have ended
		n += len(strings.Fields(string(raw)))
	}
	return n
}

// A relay that never becomes ready, or a program that is none, is an error and no verdict.
func TestRelaysThatDoNotStart(t *testing.T) {
	s, err := scenario.Parse("s", []byte(strings.Replace(planted, "[relay]\n", "[relay]\nready_within_s = 1\n", 1)))
	if err != nil {
		t.Fatal(err)
	}
	for _, command := range [][]string{{"/bin/sleep", "60"}, {"/bin/false"}, {"/does/not/exist"}} {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		if _, err := Run(ctx, s, Options{RelayCommand: command}); err == nil || ctx.Err() != nil {
			t.Errorf("%v: error %v", command, err)
		}
		cancel()
	}
}
