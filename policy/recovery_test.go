package policy

import (
	"testing"
	"time"
)

func TestRecovery_MessageWithPriorAttempts(t *testing.T) {
	const idempotent, byKey, notIdempotent = 0, 1, 2
	begin := time.Hour
	executed := func(ago time.Duration) PriorAttempt { return PriorAttempt{Endpoint: "gone", SentAt: begin - ago} }
	notExecuted := PriorAttempt{Endpoint: "a", SentAt: begin - time.Second, NotExecuted: true}
	exhausted := make([]PriorAttempt, testSettings().MaxAttempts)
	for i := range exhausted {
		exhausted[i] = notExecuted
	}
	tests := []struct {
		name  string
		event Event
		want  string
	}{
		{"no attempt", recovered("m", notIdempotent), "m>a"},
		{"idempotent, may have executed", recovered("m", idempotent, executed(time.Second)), "m>a"},
		{"by key, within its TTL", recovered("m", byKey, executed(3*time.Second)), "m>a"},
		{"by key, past its TTL", recovered("m", byKey, executed(4*time.Second)), "reject m"},
		{"by key, TTL counted from the first attempt that may have executed", recovered("m", byKey, executed(4*time.Second), executed(ms)), "reject m"},
		{"not idempotent, may have executed", recovered("m", notIdempotent, executed(time.Second)), "fail m"},
		{"not idempotent, not executed", recovered("m", notIdempotent, notExecuted, notExecuted), "m>a"},
		{"all attempts made", recovered("m", idempotent, exhausted...), "reject m"},
		{"deadline passed", Arrived{ID: "m", Recovered: true, TimeLeft: -time.Second}, "reject m"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
			wantActions(t, "recovered", d.Handle(begin, []Event{tt.event}), tt.want)
		})
	}
}

// A recovered message does not pass admission again.
func TestRecovery_NoSecondAdmission(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	d.destination(0).queues[0].latency.mean, d.destination(0).queues[0].retryAfterUntil = 1, 60*time.Second
	wantActions(t, "a new message", d.Handle(time.Second, []Event{arrival("n", 0)}), "reject n")
	wantActions(t, "a recovered message", d.Handle(time.Second, []Event{recovered("m", 0)}), "")
}

// After a restart during an outage or slow start, the limits on calls of that state still apply.
func TestRecovery_EndpointHealth(t *testing.T) {
	s := testSettings()
	s.Weights, s.MaxInFlight = WeightsNominal, 16
	sends := func(events ...Event) int {
		d := newDispatcher(t, s, Endpoint{ID: "a", Weight: 10})
		for i := range 6 {
			events = append(events, recovered(string(rune('m'+i)), 0))
		}
		n := 0
		for _, a := range d.Handle(time.Hour, events) {
			if _, ok := a.(Send); ok {
				n++
			}
		}
		return n
	}
	healthy := sends()
	if out := sends(HealthRecovered{Endpoint: "a", Unhealthy: true, At: time.Hour - time.Minute}); out > maxTrialCalls || out >= healthy {
		t.Errorf("during an outage: %d calls at once, %d when healthy", out, healthy)
	}
	if recovering := sends(HealthRecovered{Endpoint: "a", At: time.Hour - time.Second}); recovering >= healthy {
		t.Errorf("in slow start: %d calls at once, %d when healthy", recovering, healthy)
	}
	if warm := sends(HealthRecovered{Endpoint: "a", At: time.Hour - time.Minute}); warm != healthy {
		t.Errorf("after slow start: %d calls at once, want %d", warm, healthy)
	}
	if unknown := sends(HealthRecovered{Endpoint: "z", Unhealthy: true}); unknown != healthy {
		t.Errorf("an unlisted endpoint: %d calls at once, want %d", unknown, healthy)
	}
}

// The start and the end of an outage are persisted when they happen.
func TestPersistHealth_OnOutageAndRecovery(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	persisted := func(actions []Action) (list []PersistHealth) {
		for _, a := range actions {
			if r, ok := a.(PersistHealth); ok {
				list = append(list, r)
			}
		}
		return list
	}
	d.Handle(time.Second, []Event{arrival("m", 0)})
	d.Handle(2*time.Second, []Event{AttemptEnded{ID: "m", Endpoint: "a", Attempt: 0, Outcome: ConnectError}})
	got := persisted(d.Handle(3*time.Second, []Event{
		AttemptEnded{ID: "m", Endpoint: "a", Attempt: 1, Outcome: ConnectError},
	}))
	if len(got) != 1 || got[0] != (PersistHealth{Endpoint: "a", Unhealthy: true, At: 3 * time.Second}) {
		t.Errorf("persisted on an outage: %v", got)
	}
	wantActions(t, "next trial request", d.Handle(7*time.Second, []Event{TimerFired{}}), "m>a")
	got = persisted(d.Handle(8*time.Second, []Event{
		AttemptEnded{ID: "m", Endpoint: "a", Attempt: 2, Outcome: Succeeded, Final: true},
	}))
	if len(got) != 1 || got[0] != (PersistHealth{Endpoint: "a", At: 8 * time.Second}) {
		t.Errorf("persisted on the recovery: %v", got)
	}
}
