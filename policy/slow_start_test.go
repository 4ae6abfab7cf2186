package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestOutage_TrialRequestsWithinRecoveryRate checks for each kind of outage that trial requests
// stay within the recovery rate.
func TestOutage_TrialRequestsWithinRecoveryRate(t *testing.T) {
	s := testSettings()
	s.Weights = WeightsNominal
	for _, outcome := range []Outcome{ConnectError, Failed, ConnectionReset, Rejected, TimedOut} {
		d := newDispatcher(t, s, Endpoint{ID: "a", Weight: 5})
		sends, out := 0, map[string]int{}
		for now := time.Duration(0); now < 24*time.Second; now += 20 * ms {
			var events []Event
			for id, n := range out {
				events = append(events, AttemptEnded{ID: id, Endpoint: "a", Attempt: n, Outcome: outcome})
			}
			out = map[string]int{}
			if now%(200*ms) == 0 {
				events = append(events, Arrived{ID: fmt.Sprint(now), TimeLeft: 10 * time.Second})
			}
			for _, a := range d.Handle(now, events) {
				if a, ok := a.(Send); ok {
					out[a.ID] = len(d.messages[a.ID].attempts) - 1
					if now >= 20*time.Second {
						sends++
					}
				}
			}
		}
		// In 4 s a cold destination bears 2 × 0.2 × 5 × 4 = 8 calls.
		if sends > 8 || sends == 0 {
			t.Errorf("outcome %d: %d calls in 4 s of an outage", outcome, sends)
		}
	}
}

func TestSlowStart_RecoveryRateRises(t *testing.T) {
	s := testSettings()
	s.Weights, s.MaxInFlight = WeightsNominal, 40
	d := newDispatcher(t, s, Endpoint{ID: "a", Weight: 10})
	ep := d.endpoints["a"]
	d.now = time.Second
	d.markUnhealthy(ep)
	d.recordSuccess(ep, true)
	if got, want := d.recoveryRate(ep, 0), recoverySafety*2*0.2*10; math.Abs(got-want) > 1e-9 {
		t.Errorf("recovery rate at the recovery: %v, want %v", got, want)
	}
	if got, want := d.recoveryRate(ep, 10*time.Second), recoverySafety*2*10; math.Abs(got-want) > 1e-9 {
		t.Errorf("recovery rate when warm: %v, want %v", got, want)
	}
	d.now = 12 * time.Second
	if d.recoveryTokens(ep); ep.health == slowStart {
		t.Error("still in slow start after SlowStartTime")
	}
}

// TestSlowStart_SuccessAllowsTrialOfSiblings guards against late detection of the recovery of other
// endpoints: an outage usually ends for all endpoints of a destination at the same time.
func TestSlowStart_SuccessAllowsTrialOfSiblings(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
	a, b := d.endpoints["a"], d.endpoints["b"]
	d.markUnhealthy(a)
	d.markUnhealthy(b)
	if d.acceptsCall(b) {
		t.Error("trial request allowed directly after the endpoint became unhealthy")
	}
	d.recordSuccess(a, true)
	if !d.acceptsCall(b) {
		t.Error("no trial request allowed after the other endpoint's recovery")
	}
}
