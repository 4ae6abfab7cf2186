package policy

import (
	"slices"
	"testing"
	"time"
)

// A repeat of a keyed message that may have run has to leave before its key is forgotten, however late its connection comes up.
func TestRepeatLeavesBeforeItsKeyIsForgotten(t *testing.T) {
	const took = 500 * ms
	for _, tt := range []struct {
		class   int
		outcome Outcome
		want    time.Duration
	}{
		{1, ConnectionReset, 4*time.Second - 10*ms - took}, {1, Failed, 4*time.Second - 10*ms - took}, {1, Rejected, 0}, {1, ConnectError, 0}, {0, ConnectionReset, 0},
	} {
		d := start(t, plain(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
		d.Handle(0, []Event{arrive("m", tt.class)})
		actions := d.Handle(took, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: tt.outcome, Latency: took}})
		for now := took; said(actions) == "" && now < 3*time.Second; now += ms {
			actions = d.Handle(now, []Event{TimerFired{}})
			tt.want = max(0, tt.want-ms) // in the pause after a refusal it is the same
		}
		i := slices.IndexFunc(actions, func(a Action) bool { _, ok := a.(Send); return ok })
		if i < 0 {
			t.Errorf("class %d, outcome %d: not sent again: %v", tt.class, tt.outcome, actions)
		} else if got := actions[i].(Send).WriteWithin; got != tt.want {
			t.Errorf("class %d, outcome %d: within %v, want %v", tt.class, tt.outcome, got, tt.want)
		}
	}
}
