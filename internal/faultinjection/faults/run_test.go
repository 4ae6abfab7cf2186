package faults

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"
)

// maxRuns bounds how many times runUntilConclusive executes a run.
const maxRuns = 4

// runUntilConclusive executes a run until it is conclusive, at most maxRuns times. A run is inconclusive if the machine was too busy.
func runUntilConclusive(t *testing.T, o Options) Result {
	t.Helper()
	o.RelayPath, o.CoordinatorPath = filepath.Join(programsDir, "frostlink"), filepath.Join(programsDir, "frostlink-coord")
	for range maxRuns {
		r, err := RunIn(t.Context(), t.TempDir(), o)
		if err != nil {
			t.Fatal(err)
		}
		if !r.Void {
			return r
		}
	}
	t.Logf("all %d runs were inconclusive: the machine was too busy", maxRuns)
	return Result{Void: true}
}

// At any time at most one relay has its requests accepted, whichever faults a seed draws. The command "frostlinkctl coord rehearse"
// executes hundreds of such runs.
func TestRun_KeepsLeasesExclusiveUnderDrawnFaults(t *testing.T) {
	for _, o := range []Options{{Seed: 1, Members: 3, Relays: 40}, {Seed: 2, Members: 5, Relays: 12}} {
		t.Run(fmt.Sprintf("seed %d, %d members, %d relays", o.Seed, o.Members, o.Relays), func(t *testing.T) {
			t.Parallel()
			o.TTL, o.Length, o.Fenced = time.Second, 10*time.Second, true
			r := runUntilConclusive(t, o)
			for _, v := range r.Violations {
				t.Errorf("%s: %s", v.Check, v.Detail)
			}
			if !r.Void && r.CopiedResponses < 20 {
				t.Errorf("only %d responses were written twice", r.CopiedResponses)
			}
			if !r.Void && (r.Grants < 2 || r.Accepted < 20) {
				t.Errorf("only %d executions accepted under %d grants, too few for a meaningful run", r.Accepted, r.Grants)
			}
		})
	}
}

// A lease holder is paused while its request is on the way to the resource, and the request arrives when another relay holds the lease.
// A resource that checks fencing tokens rejects the request. A resource that does not check them accepts the request while it executes
// requests of the new holder.
func TestRun_OnlyFencingStopsAHolderPausedInAnExecution(t *testing.T) {
	var schedule []Fault
	for i := range 3 {
		schedule = append(schedule, Fault{At: time.Duration(1+5*i) * time.Second, Kind: HolderPausedInExecution})
	}
	for name, fenced := range map[string]bool{"fenced": true, "unfenced": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := runUntilConclusive(t, Options{Seed: 7, Members: 3, Relays: 4, TTL: time.Second, Fenced: fenced, Schedule: schedule})
			overlaps := 0
			for _, v := range r.Violations {
				if v.Check == CheckOverlap {
					overlaps++
				} else if fenced || v.Check != CheckToken { // without fencing an older token is also accepted after a newer one
					t.Errorf("%s: %s", v.Check, v.Detail)
				}
			}
			if !r.Void && fenced != (overlaps == 0) {
				t.Errorf("got %d overlaps: %+v", overlaps, r)
			}
		})
	}
}
