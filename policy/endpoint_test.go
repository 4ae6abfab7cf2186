package policy

import (
	"testing"
	"time"
)

func TestHealth_Transitions(t *testing.T) {
	const slowStartTime = 10 * time.Second
	type step struct {
		name string
		do   func(d *Dispatcher, ep *endpoint)
	}
	fails := step{"fails", func(d *Dispatcher, ep *endpoint) { d.markUnhealthy(ep) }}
	succeeds := step{"succeeds", func(d *Dispatcher, ep *endpoint) { d.recordSuccess(ep, false) }}
	recoveryRecorded := step{"recovery recorded by an earlier process", func(d *Dispatcher, ep *endpoint) {
		d.recoverHealth(HealthRecovered{Endpoint: ep.ID, At: d.now})
	}}
	timePasses := step{"slow start ends", func(d *Dispatcher, ep *endpoint) {
		d.now += slowStartTime
		d.endSlowStart(ep)
	}}
	for _, tt := range []struct {
		from health
		step step
		want health
	}{
		{healthy, fails, unhealthy},
		{healthy, succeeds, healthy},
		{healthy, recoveryRecorded, slowStart},
		{healthy, timePasses, healthy},
		{slowStart, fails, unhealthy},
		{slowStart, succeeds, slowStart},
		{slowStart, recoveryRecorded, slowStart},
		{slowStart, timePasses, healthy},
		{unhealthy, fails, unhealthy},
		{unhealthy, succeeds, slowStart},
		{unhealthy, recoveryRecorded, unhealthyRecoveryRecorded},
		{unhealthy, timePasses, unhealthy},
		{unhealthyRecoveryRecorded, fails, unhealthyRecoveryRecorded},
		{unhealthyRecoveryRecorded, succeeds, slowStart},
		{unhealthyRecoveryRecorded, recoveryRecorded, unhealthyRecoveryRecorded},
		{unhealthyRecoveryRecorded, timePasses, unhealthyRecoveryRecorded},
	} {
		s := testSettings()
		s.SlowStartTime = slowStartTime
		d := newDispatcher(t, s, Endpoint{ID: "a"})
		ep := d.endpoints["a"]
		d.now = time.Minute
		ep.health, ep.recoveredAt = tt.from, d.now
		if tt.step.do(d, ep); ep.health != tt.want {
			t.Errorf("state %d, %s: state %d, want %d", tt.from, tt.step.name, ep.health, tt.want)
		}
	}
}
