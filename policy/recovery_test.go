package policy

import (
	"testing"
	"time"
)

func TestRecovery_MessageWithPriorAttempts(t *testing.T) {
	const safe, keyed, unsafe = 0, 1, 2
	begin := time.Hour
	ran := func(ago time.Duration) PriorAttempt { return PriorAttempt{Endpoint: "gone", SentAt: begin - ago} }
	unrun := PriorAttempt{Endpoint: "a", SentAt: begin - time.Second, NotExecuted: true}
	spent := make([]PriorAttempt, testSettings().MaxAttempts)
	for i := range spent {
		spent[i] = unrun
	}
	tests := []struct {
		name  string
		event Event
		want  string
	}{
		{"never tried", recovered("m", unsafe), "m>a"},
		{"safe, may have run", recovered("m", safe, ran(time.Second)), "m>a"},
		{"keyed within its memory", recovered("m", keyed, ran(3*time.Second)), "m>a"},
		{"keyed past its memory", recovered("m", keyed, ran(4*time.Second)), "reject m"},
		{"keyed, counted from the first that may have run", recovered("m", keyed, ran(4*time.Second), ran(ms)), "reject m"},
		{"unsafe, may have run", recovered("m", unsafe, ran(time.Second)), "fail m"},
		{"unsafe, never ran", recovered("m", unsafe, unrun, unrun), "m>a"},
		{"all attempts made", recovered("m", safe, spent...), "reject m"},
		{"its time is up", Arrived{ID: "m", Recovered: true, TimeLeft: -time.Second}, "reject m"},
	}
	for _, tt := range tests {
		d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
		wantActions(t, tt.name, d.Handle(begin, []Event{tt.event}), tt.want)
	}
}

// A message that was taken on before is not up for admission again.
func TestRecovery_NoSecondAdmission(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	d.destination(0).queues[0].latency.mean, d.destination(0).queues[0].retryAfterUntil = 1, 60*time.Second
	wantActions(t, "a fresh one", d.Handle(time.Second, []Event{arrival("n", 0)}), "reject n")
	wantActions(t, "a resumed one", d.Handle(time.Second, []Event{recovered("m", 0)}), "")
}

// A restart in an outage, or in the ramp after one, goes on as the process before it would have.
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
		t.Errorf("in an outage: %d calls at once, %d when healthy", out, healthy)
	}
	if ramp := sends(HealthRecovered{Endpoint: "a", At: time.Hour - time.Second}); ramp >= healthy {
		t.Errorf("in a ramp: %d calls at once, %d when healthy", ramp, healthy)
	}
	if warm := sends(HealthRecovered{Endpoint: "a", At: time.Hour - time.Minute}); warm != healthy {
		t.Errorf("after a ramp: %d calls at once, want %d", warm, healthy)
	}
	if unknown := sends(HealthRecovered{Endpoint: "z", Unhealthy: true}); unknown != healthy {
		t.Errorf("an endpoint that left: %d calls at once, want %d", unknown, healthy)
	}
}

// What has to be recalled is told when it happens.
func TestPersistHealth_OnOutageAndRecovery(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	told := func(actions []Action) (list []PersistHealth) {
		for _, a := range actions {
			if r, ok := a.(PersistHealth); ok {
				list = append(list, r)
			}
		}
		return list
	}
	d.Handle(time.Second, []Event{arrival("m", 0)})
	d.Handle(2*time.Second, []Event{AttemptEnded{ID: "m", Endpoint: "a", Attempt: 0, Outcome: ConnectError}})
	got := told(d.Handle(3*time.Second, []Event{AttemptEnded{ID: "m", Endpoint: "a", Attempt: 1, Outcome: ConnectError}}))
	if len(got) != 1 || got[0] != (PersistHealth{Endpoint: "a", Unhealthy: true, At: 3 * time.Second}) {
		t.Errorf("an outage: %v", got)
	}
	wantActions(t, "the next knock", d.Handle(7*time.Second, []Event{TimerFired{}}), "m>a")
	got = told(d.Handle(8*time.Second, []Event{AttemptEnded{ID: "m", Endpoint: "a", Attempt: 2, Outcome: Succeeded, Final: true}}))
	if len(got) != 1 || got[0] != (PersistHealth{Endpoint: "a", At: 8 * time.Second}) {
		t.Errorf("the return: %v", got)
	}
}
