package policy

import (
	"testing"
	"time"
)

// TestCancelStuck_LostCallIsRetried guards against a lost call that is never cancelled. A call that
// a later call has overtaken is cancelled; a call that was not overtaken stays in flight while
// slots are free.
func TestCancelStuck_LostCallIsRetried(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.latency.observe(0, 0.1)
	d.Handle(0, []Event{arrival("lost", 0)})
	d.Handle(50*ms, []Event{arrival("m", 0)})
	wantActions(t, "not overtaken", d.Handle(140*ms, []Event{TimerFired{}}), "")
	d.Handle(150*ms, []Event{delivered("m", "a")})
	wantActions(t, "overtaken and overdue", d.Handle(700*ms, []Event{TimerFired{}}), "cancel lost/0")
	wantActions(t, "sent again", d.Handle(705*ms, []Event{ended("lost", Canceled)}), "lost>a")
}

// TestCancelStuck_FreesWantedSlot guards against hanging calls that occupy all slots.
func TestCancelStuck_FreesWantedSlot(t *testing.T) {
	s := testSettings()
	s.MaxInFlight = 2
	d := newDispatcher(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1}, Endpoint{ID: "c", Destination: 2})
	d.queues[0].latency.observe(0, 0.1)
	d.queues[1].latency.observe(0, 0.1)
	at := func(id string, dest int) Event { return Arrived{ID: id, Destination: dest, TimeLeft: 10 * time.Second} }
	d.Handle(0, []Event{at("m", 0)})
	d.Handle(100*ms, []Event{at("n", 1)})
	wantActions(t, "no slot is needed", d.Handle(900*ms, []Event{TimerFired{}}), "")
	wantActions(t, "a slot is needed", d.Handle(1000*ms, []Event{at("o", 2)}), "cancel m/0")
}

// TestCancelFactor_LowerWhereMostlyUnanswered guards against slots that are occupied for long by
// calls that are never answered.
func TestCancelFactor_LowerWhereMostlyUnanswered(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	if got := d.cancelFactor(); got != unresponsiveFactor {
		t.Errorf("cancel factor without overdue calls: %v", got)
	}
	d.unansweredShare = 0.9
	if got := d.cancelFactor(); got != stuckFactor {
		t.Errorf("cancel factor with unanswered overdue calls: %v", got)
	}
}

// TestCancelStuck_NonIdempotentCallOnlyForWantedSlot guards against calls that are not idempotent
// and whose answers are lost: they occupied all slots.
func TestCancelStuck_NonIdempotentCallOnlyForWantedSlot(t *testing.T) {
	s := testSettings()
	s.MaxInFlight = 1
	d := newDispatcher(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	d.queues[0].latency.observe(2, 0.1)
	d.unansweredShare = 0.9
	d.Handle(0, []Event{Arrived{ID: "m", Class: 2, TimeLeft: 20 * time.Second}})
	wantActions(t, "no slot is needed", d.Handle(3*time.Second, []Event{TimerFired{}}), "")
	wantActions(t, "a slot is needed", d.Handle(3100*ms, []Event{
		Arrived{ID: "n", Destination: 1, TimeLeft: 9 * time.Second},
	}), "cancel m/0")
	wantActions(t, "not sent again", d.Handle(3105*ms, []Event{ended("m", Canceled)}), "fail m n>b")
}
