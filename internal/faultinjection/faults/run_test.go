package faults

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"
)

// maxPlays is how often a run is played, at most, until the machine is not too busy for a verdict.
const maxPlays = 4

// play plays a run, and again where the machine was too busy for a verdict.
func play(t *testing.T, o Options) Result {
	t.Helper()
	o.RelayPath, o.CoordinatorPath = filepath.Join(programs, "frostlink"), filepath.Join(programs, "frostlink-coord")
	for range maxPlays {
		r, err := RunIn(t.Context(), t.TempDir(), o)
		if err != nil {
			t.Fatal(err)
		}
		if !r.Void {
			return r
		}
	}
	t.Logf("the machine was too busy %d times: no verdict", maxPlays)
	return Result{Void: true}
}

// frostlinkctl coord rehearse plays hundreds of such runs.
func TestRun_KeepsLeasesExclusiveUnderDrawnFaults(t *testing.T) {
	for _, o := range []Options{{Seed: 1, Members: 3, Relays: 40}, {Seed: 2, Members: 5, Relays: 12}} {
		t.Run(fmt.Sprintf("seed %d, %d members, %d relays", o.Seed, o.Members, o.Relays), func(t *testing.T) {
			t.Parallel()
			o.TTL, o.Length, o.Fenced = time.Second, 10*time.Second, true
			r := play(t, o)
			for _, v := range r.Violations {
				t.Errorf("%s: %s", v.Check, v.Detail)
			}
			if !r.Void && (r.Grants < 2 || r.Accepted < 20) {
				t.Errorf("%d executions accepted under %d grants: the run says nothing", r.Accepted, r.Grants)
			}
		})
	}
}

// A holder that is paused with its request on the way, until the lease has passed on, acts at the same time as the next holder if
// the resource does not look at tokens, and is rejected if it does.
func TestRun_OnlyFencingStopsAHolderPausedInAnExecution(t *testing.T) {
	var schedule []Fault
	for i := range 3 {
		schedule = append(schedule, Fault{At: time.Duration(1+5*i) * time.Second, Kind: HolderPausedInExecution})
	}
	for name, fenced := range map[string]bool{"fenced": true, "unfenced": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := play(t, Options{Seed: 7, Members: 3, Relays: 4, TTL: time.Second, Fenced: fenced, Schedule: schedule})
			overlaps := 0
			for _, v := range r.Violations {
				if v.Check == CheckOverlap {
					overlaps++
				} else if fenced || v.Check != CheckToken { // without fencing an older token is accepted after a newer one, too
					t.Errorf("%s: %s", v.Check, v.Detail)
				}
			}
			if !r.Void && fenced != (overlaps == 0) {
				t.Errorf("%d overlaps: %+v", overlaps, r)
			}
		})
	}
}
