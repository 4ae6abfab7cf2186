package deadletter

import (
	"fmt"
	"testing"
	"time"
)

// always redelivers every message. Its limits are too high to take effect.
var always = Rule{Action: Redeliver, MaxIncarnations: 9, Rate: 1000}

// redelivererHarness is a Redeliverer with a store and a clock. The test acts as the relay.
type redelivererHarness struct {
	*Redeliverer
	t        *testing.T
	now      time.Time
	inFlight map[string]bool // ids of redeliveries that the relay still has in flight
}

// newRedelivererHarness returns a harness at noon. Its redeliveries have the ids r1, r2 and so on.
func newRedelivererHarness(t *testing.T, idempotency Idempotency, rules ...Rule) *redelivererHarness {
	t.Helper()
	n := 0
	newID := func() string { n++; return fmt.Sprint("r", n) }
	classes := []Class{{Name: "fee-payment", Idempotency: idempotency, KeyTTL: 15 * time.Second, MaxAttempts: 12}}
	return &redelivererHarness{NewRedeliverer(openStore(t, t.TempDir()), rules, classes, "relay", newID), t, noon, map[string]bool{}}
}

// storeDue stores messages that failed, were not executed, and are due at noon.
func (h *redelivererHarness) storeDue(ids ...string) {
	h.t.Helper()
	for _, id := range ids {
		m := newMessage(id)
		m.Incarnations[0].Attempts[0].Execution, m.Due = NotExecuted, noon
		if err := h.store.Put([]Message{m}); err != nil {
			h.t.Fatal(err)
		}
	}
}

// round advances the clock and runs a round. It returns the offers, each written as "message=redelivery ".
func (h *redelivererHarness) round(elapsed time.Duration) (offered string) {
	h.t.Helper()
	h.now = h.now.Add(elapsed)
	offers, err := h.Round(h.now, func(id string) bool { return h.inFlight[id] })
	if err != nil {
		h.t.Fatal(err)
	}
	for _, o := range offers {
		offered += o.Record.ID + "=" + o.Incarnation.ID + " "
	}
	return offered
}

// complete reports the result of a redelivery.
func (h *redelivererHarness) complete(id string, delivered bool, attempts ...Attempt) {
	h.t.Helper()
	result := Result{Incarnation: Incarnation{ID: id, Reason: AttemptsExhausted, CompletedAt: h.now, Attempts: attempts}, Delivered: delivered}
	for range 2 { // after a crash, a result may be reported twice
		if err := h.HandleResults([]Result{result}, h.now); err != nil {
			h.t.Fatal(err)
		}
	}
}

// expect checks the state of a message and the number of its incarnations, and returns its record.
func (h *redelivererHarness) expect(id string, state State, incarnations int) *Record {
	h.t.Helper()
	r, err := h.store.Get(id)
	if err != nil || r.State != state || len(r.Incarnations) != incarnations {
		h.t.Errorf("%s is %s with %d incarnations (%s), want %s with %d; %v", id, r.State, len(r.Incarnations), r.Reason, state, incarnations, err)
	}
	return r
}

// manualGate is a Gate that grants every destination while its token is not 0.
type manualGate struct {
	token  uint64
	rounds int
}

func (g *manualGate) Begin(int) (uint64, bool) { return g.token, g.token != 0 }
func (g *manualGate) End()                     { g.rounds++ }
