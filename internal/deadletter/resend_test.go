package deadletter

import (
	"fmt"
	"testing"
	"time"
)

// desk is a resender with a store and a relay that the test plays.
type desk struct {
	*Redeliverer
	t    *testing.T
	now  time.Time
	held map[string]bool
}

func newDesk(t *testing.T, effect Idempotency, rules ...Rule) *desk {
	t.Helper()
	n := 0
	id := func() string { n++; return fmt.Sprint("r", n) }
	classes := []Class{{Name: "fee-payment", Idempotency: effect, KeyTTL: 15 * time.Second, MaxAttempts: 12}}
	return &desk{NewRedeliverer(openStore(t, t.TempDir()), rules, classes, "relay", id), t, noon, map[string]bool{}}
}

var always = Rule{Action: Redeliver, MaxIncarnations: 9, Rate: 1000}

// keep puts messages in that were given up at noon without having run.
func (d *desk) keep(ids ...string) {
	d.t.Helper()
	for _, id := range ids {
		k := kept(id)
		k.Incarnations[0].Attempts[0].Execution, k.Due = NotExecuted, noon
		if err := d.store.Put([]Message{k}); err != nil {
			d.t.Fatal(err)
		}
	}
}

// round lets some time pass, and gives what is offered.
func (d *desk) round(pass time.Duration) (ids string) {
	d.t.Helper()
	d.now = d.now.Add(pass)
	offers, err := d.Round(d.now, func(id string) bool { return d.held[id] })
	if err != nil {
		d.t.Fatal(err)
	}
	for _, o := range offers {
		ids += o.Record.ID + "=" + o.Incarnation.ID + " "
	}
	return ids
}

func (d *desk) returns(id string, delivered bool, attempts ...Attempt) {
	d.t.Helper()
	r := Result{Incarnation: Incarnation{ID: id, Reason: AttemptsExhausted, CompletedAt: d.now, Attempts: attempts}, Delivered: delivered}
	for range 2 { // told twice, as after a crash
		if err := d.HandleResults([]Result{r}, d.now); err != nil {
			d.t.Fatal(err)
		}
	}
}

func (d *desk) is(id string, s State, lives int) *Record {
	d.t.Helper()
	r, err := d.store.Get(id)
	if err != nil || r.State != s || len(r.Incarnations) != lives {
		d.t.Errorf("%s is %s with %d lives (%s), want %s with %d; %v", id, r.State, len(r.Incarnations), r.Reason, s, lives, err)
	}
	return r
}

func TestAResendIsDelivered(t *testing.T) {
	d := newDesk(t, NotIdempotent, always)
	d.keep("a", "b")
	if got := d.round(0); got != "a=r1 " {
		t.Fatalf("offered %q", got)
	}
	d.is("a", Redelivering, 2)
	if got := d.round(10 * time.Second); got != "" {
		t.Errorf("offered %q while one is out there", got)
	}
	d.returns("r1", true, Attempt{Endpoint: "h", StartedAt: d.now, Execution: Executed})
	r := d.is("a", Delivered, 2)
	if r.Last().ID != "r1" || len(r.Last().Attempts) != 1 {
		t.Errorf("its last life: %+v", r.Last())
	}
	if got := d.round(time.Second); got != "b=r2 " {
		t.Errorf("then %q", got)
	}
}

// A resend for which the relay had no room is no life, takes no attest, and is tried again after a short pause.
func TestAResendWithoutRoom(t *testing.T) {
	d := newDesk(t, NotIdempotent, always)
	k := kept("a") // it may have run
	k.Due, k.Attestations = noon, []Attestation{{By: "Amina", Evidence: "ledger", At: noon}}
	if err := d.store.Put([]Message{k}); err != nil {
		t.Fatal(err)
	}
	for n := 1; n <= 3; n++ {
		if got := d.round(10 * time.Second); got != fmt.Sprintf("a=r%d ", n) {
			t.Fatalf("round %d: %q", n, got)
		}
		if r := d.is("a", Redelivering, 2); !r.Attestations[0].Used || r.Last().Attestation == nil {
			t.Errorf("it went without its attest: %+v", r)
		}
		d.returns(fmt.Sprint("r", n), false)
		if r := d.is("a", Held, 1); r.Attestations[0].Used {
			t.Error("its attest is used up by nothing")
		}
	}
	if got := d.round(minBusyBackoff / 2); got != "" {
		t.Errorf("offered %q at once", got)
	}
	d.round(10 * time.Second)
	d.returns("r4", false, Attempt{Endpoint: "h", StartedAt: d.now, Execution: ExecutionUnknown})
	if got := d.round(time.Hour); got != "" {
		t.Errorf("offered %q again, though it may have run and the attest is used", got)
	}
	d.is("a", Held, 2)
}

// While the partner is still down a few go, further and further apart, and no allowance is burnt.
func TestAPartnerThatIsStillDown(t *testing.T) {
	d := newDesk(t, Idempotent, always)
	for i := range 50 {
		d.keep(fmt.Sprint("m", i))
	}
	went := 0
	for range 4 * 60 { // an hour, a look every quarter of a minute
		got := d.round(15 * time.Second)
		if got == "" {
			continue
		}
		went++
		d.returns(fmt.Sprint("r", went), false, Attempt{Endpoint: "h", StartedAt: d.now, Execution: NotExecuted})
	}
	if went < 10 || went > 25 {
		t.Errorf("%d resends in an hour to a partner that is down", went)
	}
}

// A resend that comes back undelivered keeps its lineage, counts against the allowance, and does not loop for ever.
func TestAResendThatComesBack(t *testing.T) {
	d := newDesk(t, Idempotent, Rule{Action: Redeliver, MaxIncarnations: 3, Rate: 1000})
	d.keep("a")
	for n := 1; n <= 2; n++ {
		if got := d.round(time.Hour); got != fmt.Sprintf("a=r%d ", n) {
			t.Fatalf("round %d: %q", n, got)
		}
		d.returns(fmt.Sprint("r", n), false, Attempt{Endpoint: "h", StartedAt: d.now, Execution: NotExecuted})
	}
	if got := d.round(time.Hour); got != "" {
		t.Errorf("offered %q beyond the rule's lives", got)
	}
	if r := d.is("a", Held, 3); r.Attempts() != 3 || r.Incarnations[1].ID != "r1" {
		t.Errorf("lineage %+v", r.Incarnations)
	}
}

// A resend of which the relay knows nothing, long after its time, may have run.
func TestALostResend(t *testing.T) {
	d := newDesk(t, NotIdempotent, always)
	d.keep("a")
	d.round(0)
	d.held["r1"] = true
	d.round(time.Hour)
	d.is("a", Redelivering, 2)        // the relay still has it
	d.throttles = map[int]*throttle{} // another process
	delete(d.held, "r1")
	d.round(time.Hour)
	if r := d.is("a", Held, 2); r.MayHaveExecuted() == nil || r.Last().Reason != ProcessEnded {
		t.Errorf("%+v", r)
	}
	if got := d.round(time.Hour); got != "" {
		t.Errorf("offered %q", got)
	}
}

func TestRatesAndOtherPartners(t *testing.T) {
	d := newDesk(t, Idempotent, Rule{Action: Redeliver, MaxIncarnations: 9, Rate: 0.5})
	d.keep("a", "b", "c")
	other := kept("o")
	other.Destination, other.Due = 8, noon
	if err := d.store.Put([]Message{other}); err != nil {
		t.Fatal(err)
	}
	if got := d.round(0); got != "a=r1 o=r2 " {
		t.Errorf("offered %q", got)
	}
	went := 1
	for range 60 { // half a minute
		d.returns(fmt.Sprint("r", len(d.held)+1), true, Attempt{Execution: Executed})
		d.returns("r3", true, Attempt{Execution: Executed})
		if d.round(500*time.Millisecond) != "" {
			went++
		}
	}
	if went != 3 {
		t.Errorf("%d of three went", went)
	}
}

// What an operator asks for goes once, by the same judge; new rules look at what was held under the old ones.
func TestAskedForAndNewRules(t *testing.T) {
	d := newDesk(t, NotIdempotent)
	d.keep("a", "b")
	if got := d.round(0); got != "" {
		t.Fatalf("offered %q without a rule", got)
	}
	ran := kept("ran")
	if err := d.store.Put([]Message{ran}); err != nil {
		t.Fatal(err)
	}
	admin := &Admin{Store: d.store, Now: func() time.Time { return d.now }}
	for _, id := range []string{"a", "ran"} {
		if code := ask(t, admin, "POST", "/messages/"+id+"/resend", `{"by":"Amina"}`, nil); code != 200 {
			t.Fatal(code)
		}
	}
	if got := d.round(time.Second); got != "a=r1 " {
		t.Errorf("asked for: %q", got)
	}
	d.returns("r1", true, Attempt{Execution: Executed})
	d.round(time.Second)
	d.is("ran", Held, 1) // it may have run, whoever asks
	if changed, err := d.store.SetRules([]byte("new")); err != nil || !changed {
		t.Errorf("changed %v, %v", changed, err)
	}
	if changed, _ := d.store.SetRules([]byte("new")); changed {
		t.Error("the same rules are others")
	}
	d.rules = []Rule{always}
	if got := d.round(time.Second); got != "" {
		t.Errorf("offered %q before a sweep", got)
	}
	d.Sweep()
	if got := d.round(time.Second); got != "b=r2 " {
		t.Errorf("after a sweep: %q", got)
	}
}

// A bank is back cold, and all of its messages are due at once: one is out at a time, at the rule's pace, a failure has
// the pace of a partner that is down, and the few messages of another partner are not behind it.
func TestAllOfOnePartnerDueAtOnce(t *testing.T) {
	const all, rate, minute = 5_000, 5.0, 300 // rounds of 200 ms
	d := newDesk(t, Idempotent, Rule{Action: Redeliver, MaxIncarnations: 9, Rate: rate})
	var batch []Message
	for i := range all {
		k := kept(fmt.Sprint("m", i))
		k.Due = noon
		batch = append(batch, k)
	}
	if err := d.store.Put(batch); err != nil {
		t.Fatal(err)
	}
	other := kept("o")
	other.Destination, other.Due = 8, noon
	if err := d.store.Put([]Message{other}); err != nil {
		t.Fatal(err)
	}
	play := func(delivered bool) (went int, others bool) {
		for range minute {
			d.now = d.now.Add(200 * time.Millisecond)
			offers, err := d.Round(d.now, func(id string) bool { return d.held[id] })
			if err != nil {
				t.Fatal(err)
			}
			mine := 0
			for _, o := range offers {
				ran := Attempt{StartedAt: d.now, Execution: Executed}
				if o.Record.Destination == 8 {
					others = true
					d.returns(o.Incarnation.ID, true, ran)
					continue
				}
				mine++
				if !delivered {
					ran.Execution = NotExecuted
				}
				d.returns(o.Incarnation.ID, delivered, ran)
			}
			if went += mine; mine > 1 {
				t.Fatalf("%d are out at once", mine)
			}
		}
		return went, others
	}
	if went, others := play(true); went < 250 || went > 60*rate+1 || !others {
		t.Errorf("in a minute %d went, the other partner's %v", went, others)
	}
	if went, _ := play(false); went > 5 { // after 5, 10, 20 and 40 s
		t.Errorf("%d went in a minute to a partner that is down", went)
	}
}

// turns is a gate that the test opens.
type turns struct {
	token  uint64
	rounds int
}

func (g *turns) Begin(int) (uint64, bool) { return g.token, g.token != 0 }
func (g *turns) End()                     { g.rounds++ }

// TestResendsInTurns: nothing is resent without a turn, what is not to be resent is settled all the same, and a turn begins
// without what the rate has left over: another relay may just have used it.
func TestResendsInTurns(t *testing.T) {
	rule := always
	rule.Rate = 1
	d := newDesk(t, Idempotent, rule)
	gate := &turns{}
	d.SetGate(gate)
	d.keep("a", "b", "c")
	if got := d.round(time.Minute); got != "" {
		t.Fatalf("offered %q without a turn", got)
	}
	gate.token = 1
	if got := d.round(gatePause); got != "" {
		t.Errorf("offered %q at the begin of a turn", got)
	}
	if got := d.round(time.Second); got != "a=r1 " {
		t.Errorf("offered %q a second later", got)
	}
	d.returns("r1", true)
	gate.token = 0
	if got := d.round(time.Minute); got != "" {
		t.Errorf("offered %q after the turn", got)
	}
	gate.token = 2
	if got := d.round(time.Minute); got != "" {
		t.Errorf("offered %q at the begin of the next turn", got)
	}
	if got := d.round(time.Second); got != "b=r2 " {
		t.Errorf("offered %q in the next turn", got)
	}
}
