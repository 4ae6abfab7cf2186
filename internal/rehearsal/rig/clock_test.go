package rig

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"

	"mallowlead/internal/rehearsal/script"
)

// clockScript is what relays are played against whose wall clocks are stepped: an unsafe, a keyed and a safe class, a partner
// that is out for a while so that messages are held, and one whose answers get lost.
const clockScript = `version = 1
name = "clock"
length_s = 8
relays = 2

[load]
rate = 30

[[class]]
name = "payment"
aim_s = 1.5
deadline_s = 3
effect = "keyed"
memory_s = 4
service_ms = 40

[[class]]
name = "order"
share = 0.4
aim_s = 1.5
deadline_s = 3
effect = "unsafe"
service_ms = 40

[[class]]
name = "status"
aim_s = 1.5
deadline_s = 3
effect = "safe"
service_ms = 40

[[partner]]
name = "well"
share = 1
endpoints = 2
slots = 8
queue = 50

[[partner]]
name = "out"
share = 1
endpoints = 2
slots = 8
queue = 50

[[partner]]
name = "breaks"
share = 0.5
endpoints = 2
slots = 8
queue = 50

[[event]]
at_s = 1.5
what = "refuse"
partner = "out"
for_s = 5

[[event]]
at_s = 2
what = "reset"
partner = "breaks"
share = 0.5
for_s = 5
`

// step is the event that steps both relays' clocks.
func step(at, by float64) string {
	return fmt.Sprintf("\n[[event]]\nat_s = %v\nwhat = \"clock_step\"\nby_s = %v\n", at, by)
}

// kill is the event that kills both relays; they are back 0.6 s later.
func kill(at float64) string {
	return fmt.Sprintf("\n[[event]]\nat_s = %v\nwhat = \"kill\"\nback_s = 0.6\n", at)
}

// A step of the wall clock, either way, breaks no rule and has a relay neither reject what it could deliver nor hold what is
// over: under a running process, while none runs, before a restart and twice.
func TestWallClockSteps(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, "mallowlead/cmd/frostlink").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	command := []string{filepath.Join(dir, "frostlink")}
	places := make(chan struct{}, sideBySide)
	baseline := playClocks(t, command, "")
	for name, events := range map[string]string{
		"forward by an hour":             step(3, 3600),
		"back by an hour":                step(3, -3600),
		"forward by less than a message": step(3, 1.5),
		"back by less than a message":    step(3, -1.5),
		"there and back":                 step(2.5, 3600) + step(4.5, -3600),
		"forward while down":             kill(3) + step(3.3, 3600),
		"back while down":                kill(3) + step(3.3, -3600),
		"forward before a restart":       step(2.5, 60) + kill(4),
		"back before a restart":          step(2.5, -60) + kill(4),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			res := playClocks(t, command, events)
			for _, b := range res.Breaches {
				t.Errorf("%+v", b)
			}
			for _, f := range res.Faults {
				t.Error(f)
			}
			if served, least := res.Worth.Whole, worthKept*baseline.Worth.Whole; served < least {
				t.Errorf("served %.3f, and %.3f without a step", served, baseline.Worth.Whole)
			}
		})
	}
}

// sideBySide runs are played at once: more would make the machine late.
const sideBySide = 3

// worthKept is the share of the worth without a step that is to be served with one. Kills cost some; what a stepped clock cost
// was more than half.
const worthKept = 0.75

// playClocks plays the script with further events, again where the machine was too busy for the run to say anything.
func playClocks(t *testing.T, command []string, events string) *Result {
	t.Helper()
	s, err := script.Parse("clock.toml", []byte(clockScript+events))
	if err != nil {
		t.Fatal(err)
	}
	var res *Result
	for range 3 {
		if res, err = Run(t.Context(), s, Options{Seed: 1, Command: command}); err != nil {
			t.Fatal(err)
		}
		if !res.Void {
			return res
		}
	}
	t.Fatalf("the machine was too busy: %.2f%% of events late", 100*res.Late)
	return nil
}
