//go:build !race

package simulation

import (
	"fmt"
	"strings"
	"testing"

	"frostlink/internal/faultinjection/checker"
)

// Fleets that are small enough to use connections again break no rule while endpoints write responses twice.
func TestPlay_ToleratesCopiedResponses(t *testing.T) {
	for _, kind := range DrawnDayNames {
		for _, relays := range []int{3, 6, 9} {
			t.Run(fmt.Sprintf("%s of %d", kind, relays), func(t *testing.T) {
				t.Parallel()
				copies := 0
				for seed := int64(1); seed <= 4; seed++ {
					r := playDrawn(t, kind, relays, seed, nil)
					if len(r.Failures)+len(r.Violations) > 0 {
						t.Errorf("seed %d: %s", seed, strings.Join(r.Failures, "\n"))
					}
					copies += r.CopiedResponses
				}
				if copies < 100 {
					t.Errorf("only %d responses were written twice", copies)
				}
			})
		}
	}
}

// Relays that take every response for that of the request in flight lose messages.
func TestPlay_CatchesRelaysThatTakeCopies(t *testing.T) {
	r := playDrawn(t, CalmDay, 6, 1, func(d *Day) { d.Bug.TakesEveryResponse = true })
	if r.Violations[checker.OutcomeMissing] == 0 {
		t.Errorf("no lost message was found; violations %v", r.Violations)
	}
}
