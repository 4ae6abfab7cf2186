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

// Small fleets break no rule while endpoints say of messages that they are over, and reset the connection before that is confirmed.
func TestPlay_ToleratesEarlyEnds(t *testing.T) {
	for _, kind := range DrawnDayNames {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			r := playDrawn(t, kind, 6, 1, withEarlyEnds)
			if len(r.Failures)+len(r.Violations) > 0 {
				t.Error(strings.Join(r.Failures, "\n"))
			}
			if r.EarlyEnds < 20 {
				t.Errorf("only %d messages were over at their first attempt", r.EarlyEnds)
			}
		})
	}
}

// Relays that drop a response that ends a message, if they can't tell whose it is, send the message again.
func TestPlay_CatchesRelaysThatForgetEnds(t *testing.T) {
	r := playDrawn(t, CalmDay, 6, 1, func(d *Day) { withEarlyEnds(d); d.Bug.ForgetsEnds = true })
	if r.Violations[checker.SentAfterEnd] == 0 {
		t.Errorf("no message was found that was sent after its end; violations %v", r.Violations)
	}
}

// withEarlyEnds raises the share of messages that are over at their first attempt.
func withEarlyEnds(d *Day) {
	for i := range d.Faults {
		if d.Faults[i].Kind == FaultEarlyEnds {
			d.Faults[i].Share = 0.1
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
