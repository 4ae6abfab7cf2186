package destination

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// coldLines describe a destination with a capacity of 400 attempts per second, which falls to a fifth after an outage.
const coldLines = "slots=40\nqueue=100\ncold_share=0.2\nwarm_s=10\nfallen_for_s=7\n"

func TestModel_RecoversWithSlowStart(t *testing.T) {
	for _, test := range []struct {
		at   time.Duration
		want float64 // attempts per second
	}{
		{time.Second, 80},
		{6 * time.Second, 240},
		{11 * time.Second, 400},
	} {
		t.Run(fmt.Sprint(test.at), func(t *testing.T) {
			m := newModel(t, coldLines)
			m.Recover(time.Second, AllEndpoints, true)
			m.Advance(test.at)
			if got := m.Capacity(); math.Abs(got-test.want) > 1e-6 {
				t.Errorf("got capacity %v, want %v", got, test.want)
			}
		})
	}
}

// A cold destination goes down at the first attempt beyond OverloadFactor (2.5) times its capacity over OverloadWindow (1.5 s) plus
// OverloadSlack, and is cold again after the outage.
func TestModel_ColdDestinationGoesDownWhenOverloaded(t *testing.T) {
	m := newModel(t, coldLines)
	m.Fail(0, AllEndpoints, ModeRefusing, 0)
	if got := m.Capacity(); got != 0 {
		t.Errorf("got capacity %v while down, want 0", got)
	}
	m.Recover(time.Second, AllEndpoints, true)
	budget := int(2.5*80*1.5) + OverloadSlack
	for i := range budget {
		if m.Arrive(time.Second, 0, &Attempt{ServiceTime: time.Millisecond, Draw: 1}); m.Overloads() > 0 {
			t.Fatalf("destination down after attempt %d of a budget of %d", i+1, budget)
		}
	}
	changes := 0
	for _, action := range m.Arrive(time.Second, 0, &Attempt{Draw: 1}) {
		if action.ModeChange != nil && action.ModeChange.Mode == ModeRefusing {
			changes++
		}
	}
	if m.Overloads() != 1 || changes != 1 || m.Mode(0) != ModeRefusing {
		t.Errorf("got %d overloads and %d mode changes after one attempt beyond the budget, want 1 of each", m.Overloads(), changes)
	}
	recovery := m.Advance(8 * time.Second)
	if len(recovery) != 1 || recovery[0].ModeChange == nil || recovery[0].ModeChange.Mode != ModeServing || !m.Cold() {
		t.Errorf("got actions %+v after the overload, want a change to ModeServing with a cold destination", recovery)
	}
}
