package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// plain are settings with one safe class, and room for everything.
func plain() Settings {
	return Settings{
		Instances: 1, MaxInFlight: 4, MaxQueued: 100, MaxAttempts: 8, CanCancel: true,
		BatchInterval: 5 * ms, ColdCapacity: 0.2, SlowStartTime: 10 * time.Second, OverloadFactor: 2, OverloadWindow: 2 * time.Second,
		MaxRetryAfter: 3 * time.Second, Kinds: []DestinationKind{{MaxBatch: 1}, {MaxBatch: 5}, {MaxBatch: 1, SeparateRoutes: true}},
		Classes: []Class{
			{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1, Idempotency: Idempotent},
			{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1, Idempotency: IdempotentByKey, KeyTTL: 4 * time.Second},
			{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1, Idempotency: NotIdempotent, Ordered: true},
		},
	}
}

func start(t *testing.T, s Settings, eps ...Endpoint) *Dispatcher {
	t.Helper()
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	d.Handle(0, []Event{EndpointsChanged{Full: true, Endpoints: eps}})
	return d
}

func arrive(id string, class int) Event {
	return Arrived{ID: id, Class: class, TimeLeft: 10 * time.Second, OrderKey: "k"}
}

// said lists actions in short, without timers and time-outs.
func said(actions []Action) string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			out = append(out, a.ID+">"+a.Endpoint)
		case Reject:
			out = append(out, "refuse "+a.ID)
		case Fail:
			out = append(out, "fail "+a.ID)
		case CancelAttempt:
			out = append(out, fmt.Sprintf("cancel %s/%d", a.ID, a.Attempt))
		case WatchEndpoints:
			out = append(out, "subscribe")
		}
	}
	return strings.Join(out, " ")
}

func expect(t *testing.T, what string, actions []Action, want string) {
	t.Helper()
	if got := said(actions); got != want {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

func TestRefusing(t *testing.T) {
	tests := []struct {
		name         string
		u, x, τ, net float64
		held, want   bool
	}{
		{"u exactly τ", 2, 0.1, 2, 0, true, false},
		{"u above τ", 2.01, 0.1, 2, 0, false, true},
		{"nothing held", 0, 5, 3, 1, false, false},
		{"bound met exactly: 2(1.5+1-2) = 1", 1.5, 1, 2, 2, true, true},
		{"bound missed: 2(1.4+1-2) = 0.8", 1.4, 1, 2, 2, true, false},
		{"λ = r: no bound", 1.9, 5, 2, 0, true, false},
		{"λ below r: no bound", 1.9, 5, 2, -1, true, false},
		{"static rule: x = τ + 1/(λ-r)", 0.001, 2.5, 2, 2, true, true},
		{"no time left and idle", 0, 0.1, -0.1, 1, false, true},
		{"held, but u is 0", 0, 9, 2, 2, true, false},
	}
	for _, tt := range tests {
		if got := mustReject(tt.u, tt.x, tt.τ, tt.net, tt.held); got != tt.want {
			t.Errorf("%s: got %v", tt.name, got)
		}
	}
}

func TestBacklog(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	q := d.queues[0]
	if u := d.backlog(q); u != 0 {
		t.Errorf("idle: u = %v, want 0", u)
	}
	q.latency.mean = 0.5
	q.queued = make([]*message, 6)
	if u := d.backlog(q); u != 3 {
		t.Errorf("six held, none out: u = %v, want 6 × 0.5", u)
	}
	q.inFlight = []*call{{endpoint: q.endpoints[0]}, {endpoint: q.endpoints[0]}}
	if u := d.backlog(q); u != 1.5 {
		t.Errorf("six held, two out: u = %v, want 6 × 0.5 / 2", u)
	}
	d.now = 5500 * ms // both calls have been out for 5.5 s: 0.5 + 0.1×5, then 1 + 0.1×4.5
	if got := d.agedLatency(q); math.Abs(got-1.45) > 1e-9 {
		t.Errorf("calls out count with their age: %v, want 1.45", got)
	}
	q.retryAfterUntil = d.now + 8*time.Second
	if u := d.backlog(q); u != 8 {
		t.Errorf("in a wait: u = %v, want the 8 s that remain", u)
	}
}

func TestRatesAndVirtualCopy(t *testing.T) {
	var a decayingCounter
	if a.rate(0) != 0 {
		t.Error("a fresh counter has a rate")
	}
	for i := range 400 {
		a.add(time.Duration(i)*100*ms, 1)
	}
	if got := a.rate(40 * time.Second); math.Abs(got-10) > 0.3 {
		t.Errorf("ten a second: rate %v", got)
	}
	d := start(t, plain(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.latency.mean = 2
	for i, want := range []float64{0, 0, 1, 1} { // work 0, 2 and 4 against τ = 3; a miss adds none
		d.feedShadowQueue(q, 3)
		if q.shadowRejections.value != want {
			t.Errorf("arrival %d: %v misses of the copy, want %v", i, q.shadowRejections.value, want)
		}
		if i == 2 {
			d.now = 2 * time.Second // the copy's work drains to 2
		}
	}
}

func TestFreshDispatcherUsesTheBasicRuleAlone(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	expect(t, "first message", d.Handle(0, []Event{arrive("m", 0)}), "m>a")
	if λ, r := d.queues[0].arrivals.rate(0), d.queues[0].shadowRejections.rate(0); λ <= 0 || r != 0 {
		t.Errorf("λ = %v, r = %v", λ, r)
	}
}

func TestTurns(t *testing.T) {
	s := plain()
	s.MaxInFlight = 3
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	other := Arrived{ID: "n", Destination: 1, TimeLeft: time.Second}
	expect(t, "fewest calls out first", d.Handle(0, []Event{arrive("m1", 0), arrive("m2", 0), arrive("m3", 0), other}),
		"m1>a n>b m2>a")
}

func TestEffects(t *testing.T) {
	tests := []struct {
		class   int
		outcome Outcome
		want    string
	}{
		{0, Succeeded, ""},
		{0, Failed, "m>a"},
		{0, TimedOut, "m>a"},
		{0, ConnectionReset, "m>a"},
		{0, Canceled, "m>a"},
		{0, ConnectError, "m>a"},
		{0, NotSent, "m>a"},
		{0, Rejected, ""},
		{1, Succeeded, ""},
		{1, Failed, "m>a"},
		{1, TimedOut, "m>a"},
		{1, ConnectError, "m>a"},
		{2, Succeeded, ""},
		{2, Failed, "fail m"},
		{2, TimedOut, "fail m"},
		{2, ConnectionReset, "fail m"},
		{2, Canceled, "fail m"},
		{2, ConnectError, "m>a"},
		{2, NotSent, "m>a"},
	}
	for _, tt := range tests {
		d := start(t, plain(), Endpoint{ID: "a"})
		expect(t, "arrival", d.Handle(0, []Event{arrive("m", tt.class)}), "m>a")
		got := d.Handle(time.Second, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: tt.outcome, Final: tt.outcome == Succeeded}})
		expect(t, fmt.Sprintf("class %d, outcome %d", tt.class, tt.outcome), got, tt.want)
	}
}

func TestKeyedEndsWithItsMemory(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	d.Handle(0, []Event{arrive("m", 1)})
	got := d.Handle(3995*ms, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: TimedOut}})
	expect(t, "memory gone", got, "refuse m")
}

func TestUnsafeHasNoEarlyTimeout(t *testing.T) {
	for i, want := range []bool{true, true, false} {
		d := start(t, plain(), Endpoint{ID: "a"})
		got := d.Handle(0, []Event{Arrived{ID: fmt.Sprint("m", i), Class: i, TimeLeft: 10 * time.Second}})
		if send := got[0].(Send); (send.Timeout > 0) != want {
			t.Errorf("class %d: time-out %v", i, send.Timeout)
		}
	}
}

func TestHeldMessagesEndInTime(t *testing.T) {
	d := start(t, plain())
	got := d.Handle(0, []Event{arrive("m", 2)})
	expect(t, "no endpoint listed", got, "")
	at := got[len(got)-1].(SetTimer).After
	if at > 10*time.Second || at < 9900*ms {
		t.Errorf("timer after %v", at)
	}
	expect(t, "before its end", d.Handle(at-ms, []Event{TimerFired{}}), "")
	expect(t, "at its end", d.Handle(at, []Event{TimerFired{}}), "refuse m")
	expect(t, "late outcome", d.Handle(at+ms, []Event{AttemptEnded{ID: "m", Outcome: Succeeded}}), "")
}

func TestDrains(t *testing.T) {
	s := plain()
	s.MaxInFlight = 8
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b"})
	d.Handle(0, []Event{EndpointsChanged{Endpoints: []Endpoint{{ID: "a", Draining: true}}}})
	expect(t, "draining", d.Handle(1, []Event{arrive("m", 0), arrive("n", 0)}), "m>b n>b")
	d.Handle(2, []Event{EndpointsChanged{Full: true, Endpoints: []Endpoint{{ID: "c"}}}})
	expect(t, "gone", d.Handle(3, []Event{arrive("o", 0)}), "o>c")
}

// Calls that have not left as an endpoint begins to drain, or is gone, are taken back: their connections may come up when
// nothing new may go there any more. Told once more, nothing is said again.
func TestDrainTakesBack(t *testing.T) {
	for name, change := range map[string]EndpointsChanged{
		"draining":          {Endpoints: []Endpoint{{ID: "a", Draining: true}}},
		"gone":              {Endpoints: []Endpoint{{ID: "a", Removed: true}}},
		"missing in a list": {Full: true, Endpoints: []Endpoint{{ID: "b"}}},
	} {
		d := start(t, plain(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
		d.Handle(0, []Event{arrive("m", 0), arrive("n", 0)})
		back := 0
		for range 2 {
			for _, a := range d.Handle(ms, []Event{change}) {
				if u, ok := a.(CancelBeforeSend); ok {
					if back++; d.messages[u.ID].attempts[u.Attempt].call.endpoint.ID != "a" {
						t.Errorf("%s: takes back %+v", name, u)
					}
				}
			}
		}
		if back != 1 {
			t.Errorf("%s: %d taken back", name, back)
		}
	}
}

func TestOrder(t *testing.T) {
	s := plain()
	s.OrderKeyCooldown = 300 * ms
	d := start(t, s, Endpoint{ID: "a"})
	expect(t, "one of a key at a time", d.Handle(0, []Event{arrive("m", 2), arrive("n", 2)}), "m>a")
	expect(t, "a time-out rests the key", d.Handle(time.Second, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: TimedOut}}),
		"fail m")
	expect(t, "still resting", d.Handle(1299*ms, []Event{TimerFired{}}), "")
	expect(t, "rested", d.Handle(1300*ms, []Event{TimerFired{}}), "n>a")
}

// Where ends take a while to be known, the next of a key waits for that: a call that overtakes the notice of the message
// before it is out of turn. What has no key, and what was delivered, holds up nothing.
func TestOrderWaitsForTheEnd(t *testing.T) {
	for _, settles := range []bool{false, true} {
		s := plain()
		s.AwaitAcknowledgement = settles
		d := start(t, s, Endpoint{ID: "a"})
		d.Handle(0, []Event{arrive("m", 2), arrive("n", 2)})
		got := said(d.Handle(ms, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Failed}}))
		if !settles {
			if got != "fail m n>a" {
				t.Errorf("ends count at once: %q", got)
			}
			continue
		}
		if got != "fail m" {
			t.Errorf("given up: %q", got)
		}
		expect(t, "of another message", d.Handle(2*ms, []Event{Acknowledged{ID: "x"}, Acknowledged{ID: "n"}}), "")
		expect(t, "known", d.Handle(3*ms, []Event{Acknowledged{ID: "m"}}), "n>a")
		expect(t, "delivered", d.Handle(4*ms, []Event{AttemptEnded{ID: "n", Endpoint: "a", Outcome: Succeeded, Final: true}, arrive("o", 2)}), "o>a")
		expect(t, "without a key", d.Handle(5*ms, []Event{
			AttemptEnded{ID: "o", Endpoint: "a", Outcome: Failed},
			Arrived{ID: "p", Class: 2, TimeLeft: time.Second},
		}), "fail o p>a")
		if n := len(d.orderKeys); n != 1 { // o's, of which nobody has heard
			t.Errorf("%d keys are held", n)
		}
	}
}

// A keyed message that may have run at an endpoint which has left the list goes nowhere after a restart where only its zone
// drops repeats: which one that was is not known any more. Before, it counted as the first zone.
func TestZoneThatIsNotKnown(t *testing.T) {
	s := plain()
	s.Classes[1].KeyPerZone = true
	for _, tt := range []struct {
		name, tried, want string
		zones             []int
	}{
		{"gone", "gone", "", []int{0, 1}},
		{"listed without a zone", "a", "", []int{-1, -1}},
		{"listed", "a", "m>a", []int{0, 1}},
	} {
		d := start(t, s, Endpoint{ID: "a", Zone: tt.zones[0]}, Endpoint{ID: "b", Zone: tt.zones[1]})
		got := d.Handle(time.Second, []Event{Arrived{
			ID: "m", Class: 1, TimeLeft: 10 * time.Second, OrderKey: "k", Recovered: true,
			PriorAttempts: []PriorAttempt{{Endpoint: tt.tried, SentAt: 0}},
		}})
		expect(t, tt.name, got, tt.want)
		if tt.want == "" {
			expect(t, tt.name+", forgotten", d.Handle(4*time.Second, []Event{TimerFired{}}), "fail m")
		}
	}
}

func TestWaits(t *testing.T) {
	for _, tt := range []struct {
		kind int
		want string
	}{{0, ""}, {2, "n>b"}} { // a shared limit binds the destination, a route only itself
		d := start(t, plain(), Endpoint{ID: "a", Kind: tt.kind}, Endpoint{ID: "b", Kind: tt.kind})
		d.Handle(0, []Event{arrive("m", 0)})
		d.Handle(ms, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected, RetryAfter: time.Second}, Cancelled{ID: "m"}})
		expect(t, fmt.Sprint("kind ", tt.kind), d.Handle(500*ms, []Event{arrive("n", 0)}), tt.want)
	}
}

// TestWaitOfABundle guards against a wait that is told with the first of several outcomes of one call.
func TestWaitOfABundle(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a", Kind: 1})
	expect(t, "one call", d.Handle(0, []Event{arrive("m", 0), arrive("n", 0)}), "m>a n>a")
	if d.inFlight != 1 {
		t.Errorf("%d calls out, want one bundle", d.inFlight)
	}
	got := d.Handle(ms, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected, RetryAfter: time.Second}, arrive("o", 0)})
	expect(t, "in the wait", got, "")
}

// TestReturn plays each kind of outage: trials stay within the rule's budget, and a success starts a ramp.
func TestReturn(t *testing.T) {
	s := plain()
	s.Weights = WeightsNominal
	for _, outcome := range []Outcome{ConnectError, Failed, ConnectionReset, Rejected, TimedOut} {
		d := start(t, s, Endpoint{ID: "a", Weight: 5})
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
		// In 4 s a cold destination may take 2 × 0.2 × 5 × 4 = 8 calls.
		if sends > 8 || sends == 0 {
			t.Errorf("outcome %d: %d calls in 4 s of an outage", outcome, sends)
		}
	}
}

func TestRampAfterSuccess(t *testing.T) {
	s := plain()
	s.Weights, s.MaxInFlight = WeightsNominal, 40
	d := start(t, s, Endpoint{ID: "a", Weight: 10})
	ep := d.endpoints["a"]
	d.now = time.Second
	d.markUnhealthy(ep)
	d.recordSuccess(ep, true)
	if got, want := d.recoveryRate(ep, 0), recoverySafety*2*0.2*10; math.Abs(got-want) > 1e-9 {
		t.Errorf("budget at the return: %v, want %v", got, want)
	}
	if got, want := d.recoveryRate(ep, 10*time.Second), recoverySafety*2*10; math.Abs(got-want) > 1e-9 {
		t.Errorf("budget when warm: %v, want %v", got, want)
	}
	d.now = 12 * time.Second
	if d.recoveryTokens(ep); ep.health == slowStart {
		t.Error("still ramping after the ramp time")
	}
}

// TestConnectionCap guards against taking a connection limit for an outage.
func TestConnectionCap(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	d.Handle(0, []Event{arrive("m1", 0), arrive("m2", 0)})
	d.Handle(10*ms, []Event{AttemptEnded{ID: "m1", Endpoint: "a", Outcome: Succeeded, Final: true}, arrive("m3", 0)})
	d.Handle(20*ms, []Event{AttemptEnded{ID: "m2", Endpoint: "a", Outcome: ConnectError}})
	ep := d.endpoints["a"]
	if ep.health.isUnhealthy() || ep.consecutiveFailures > 0 || ep.connLimit != 1 {
		t.Errorf("sick %v, failures %v, cap %v", ep.health.isUnhealthy(), ep.consecutiveFailures, ep.connLimit)
	}
	for range 20 {
		d.recordSuccess(ep, true)
	}
	if ep.connLimit < 1.9 {
		t.Errorf("cap %v after twenty successes", ep.connLimit)
	}
}

// TestLostCallIsSentAgain guards against single lost calls: one that a later call has overtaken is
// called off; one that nothing has overtaken stays while slots are free.
func TestLostCallIsSentAgain(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.latency.observe(0, 0.1)
	d.Handle(0, []Event{arrive("lost", 0)})
	d.Handle(50*ms, []Event{arrive("m", 0)})
	expect(t, "nothing overtook it", d.Handle(140*ms, []Event{TimerFired{}}), "")
	d.Handle(150*ms, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Succeeded, Final: true}})
	expect(t, "overtaken and late", d.Handle(700*ms, []Event{TimerFired{}}), "cancel lost/0")
	expect(t, "sent again", d.Handle(705*ms, []Event{AttemptEnded{ID: "lost", Endpoint: "a", Outcome: Canceled}}), "lost>a")
}

// TestStuckSlotIsTakenBack guards against hangs that fill the slots.
func TestStuckSlotIsTakenBack(t *testing.T) {
	s := plain()
	s.MaxInFlight = 2
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1}, Endpoint{ID: "c", Destination: 2})
	d.queues[0].latency.observe(0, 0.1)
	d.queues[1].latency.observe(0, 0.1)
	at := func(id string, dest int) Event { return Arrived{ID: id, Destination: dest, TimeLeft: 10 * time.Second} }
	d.Handle(0, []Event{at("m", 0)})
	d.Handle(100*ms, []Event{at("n", 1)})
	expect(t, "no slot is wanted", d.Handle(900*ms, []Event{TimerFired{}}), "")
	expect(t, "one is wanted", d.Handle(1000*ms, []Event{at("o", 2)}), "cancel m/0")
}

// TestPaceFollows guards against a pace that is cut by refusals and never comes back, and against one
// that rises although the destination reports that its allowance is used up.
func TestPaceFollows(t *testing.T) {
	s := plain()
	s.Weights, s.Instances = WeightsNominal, 4
	d := start(t, s, Endpoint{ID: "a", Weight: 8})
	q := d.queues[0]
	if q.sendRate != 2 {
		t.Fatalf("pace %v, want 8 / 4", q.sendRate)
	}
	d.recordRejection(q, false)
	if q.sendRate != 2*rateDecrease {
		t.Errorf("pace %v after a refusal", q.sendRate)
	}
	q.queued = []*message{{}}
	d.recordSuccess(d.endpoints["a"], false)
	if q.sendRate != 2*rateDecrease {
		t.Errorf("pace %v rose without room", q.sendRate)
	}
	d.recordSuccess(d.endpoints["a"], true)
	if want := 2*rateDecrease + 2*rateIncrease; math.Abs(q.sendRate-want) > 1e-9 {
		t.Errorf("pace %v, want %v", q.sendRate, want)
	}
}

func TestRoutes(t *testing.T) {
	s := plain()
	s.ZoneCost = []float64{0.06, 0}
	d := start(t, s, Endpoint{ID: "a", Kind: 2}, Endpoint{ID: "b", Kind: 2, Zone: 1})
	expect(t, "the cheaper of two idle routes", d.Handle(0, []Event{arrive("m", 0)}), "m>b")
	d.queues[1].latency.mean, d.queues[1].latency.byClass[0] = 5, 5
	expect(t, "the faster at a fee", d.Handle(0, []Event{arrive("n", 0)}), "n>a")
}

func TestSubscribe(t *testing.T) {
	s := plain()
	s.WatchEndpoints = true
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	expect(t, "at the start", d.Handle(0, nil), "subscribe")
	expect(t, "failed", d.Handle(ms, []Event{WatchFailed{}}), "")
	expect(t, "again", d.Handle(ms+watchRetryDelay, []Event{TimerFired{}}), "subscribe")
}

func TestSettingsThatMakeNoSense(t *testing.T) {
	tests := []struct {
		field string
		spoil func(*Settings)
	}{
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[0].Deadline", func(s *Settings) { s.Classes[0].Deadline = -1 }},
		{"Classes[1].Memory", func(s *Settings) { s.Classes[1].KeyTTL = -1 }},
		{"Classes[2].Effect", func(s *Settings) { s.Classes[2].Idempotency = 7 }},
		{"Slots", func(s *Settings) { s.MaxInFlight = 0 }},
		{"Instances", func(s *Settings) { s.Instances = 0 }},
		{"HoldRoom", func(s *Settings) { s.MaxQueued = 0 }},
		{"Weights", func(s *Settings) { s.Weights = 9 }},
		{"OrderPause", func(s *Settings) { s.OrderKeyCooldown = -1 }},
	}
	for _, tt := range tests {
		s := plain()
		tt.spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), tt.field) {
			t.Errorf("%s: error %v", tt.field, err)
		}
	}
}

func TestUnknownThingsChangeNothing(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	got := d.Handle(time.Second, []Event{
		AttemptEnded{ID: "x"},
		Cancelled{ID: "x"},
		Arrived{ID: "y", Class: 99},
		EndpointsChanged{Endpoints: []Endpoint{{ID: "z", Removed: true}}},
	})
	expect(t, "unknown", got, "")
	d.Handle(0, []Event{TimerFired{}}) // a clock that goes back
	if d.now != time.Second {
		t.Errorf("the clock went back to %v", d.now)
	}
}

// TestLateRuleUnderOverload guards against a queue that serves everybody late, and against patient
// messages that fill it before urgent ones worth more.
func TestLateRuleUnderOverload(t *testing.T) {
	s := plain()
	s.Classes = []Class{
		{LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 2},                         // keepWorth left at 2.4 s
		{LatencyObjective: 4 * time.Second, Deadline: 16 * time.Second, PriorityWeight: 1, LateFraction: 0.5}, // and at 12.4 s
		{LatencyObjective: 4 * time.Second, Deadline: 16 * time.Second, PriorityWeight: 4, LateFraction: 0.5},
	}
	tests := []struct {
		class    int
		overload bool
		held     int // at half a second each
		refused  bool
	}{
		{0, false, 8, false},
		{0, true, 3, false},
		{0, true, 5, true},
		{1, false, 20, false},
		{1, true, 3, false},
		{1, true, 5, true}, // class 0 is worth more
		{2, true, 24, false},
		{2, true, 26, true},
	}
	for _, tt := range tests {
		d := start(t, s, Endpoint{ID: "a"})
		q := d.queues[0]
		q.latency.mean = 0.5
		for range tt.held {
			q.queued = append(q.queued, &message{class: &s.Classes[1], deadline: time.Hour, queue: q})
		}
		if tt.overload {
			q.arrivals.add(0, 100)
		}
		m := &message{
			Arrived: Arrived{ID: "m", Class: tt.class}, class: &d.settings.Classes[tt.class],
			deadline: d.settings.Classes[tt.class].Deadline,
		}
		d.unfinished = append(d.unfinished, m)
		q.shadowRejections.add(0, 1000) // λ - r < 0: the bound stays out of it
		d.admit(m)
		if (m.state != messageActive) != tt.refused {
			t.Errorf("class %d, overload %v, %d held: refused %v", tt.class, tt.overload, tt.held, (m.state != messageActive))
		}
	}
}

// TestNoAttemptWithoutTime guards against attempts that take a slot and cannot end in time.
func TestNoAttemptWithoutTime(t *testing.T) {
	d := start(t, plain())
	d.Handle(0, []Event{arrive("m", 0)})
	d.queues[0].latency.observe(0, 0.5)
	expect(t, "0.6 s left, 0.5 s needed", d.Handle(9400*ms, []Event{TimerFired{}}), "")
	expect(t, "0.4 s left, 0.5 s needed", d.Handle(9600*ms, []Event{TimerFired{}}), "refuse m")
}

// TestGrayErrors guards against taking a share of failing calls for an outage.
func TestGrayErrors(t *testing.T) {
	tests := []struct {
		outcome   Outcome
		n         int
		unhealthy bool
	}{{ConnectionReset, 3, false}, {ConnectionReset, 4, true}, {Failed, 3, false}, {ConnectError, 1, false}, {ConnectError, 2, true}}
	for _, tt := range tests {
		d := start(t, plain(), Endpoint{ID: "a"})
		d.Handle(0, []Event{arrive("m", 0)})
		for i := range tt.n {
			d.Handle(time.Duration(i+1)*ms, []Event{AttemptEnded{ID: "m", Endpoint: "a", Attempt: i, Outcome: tt.outcome}})
		}
		if got := d.endpoints["a"].health.isUnhealthy(); got != tt.unhealthy {
			t.Errorf("%d of outcome %d: sick %v", tt.n, tt.outcome, got)
		}
	}
}

// TestSiblingTrials guards against slow detection: outages mostly end for a whole destination.
func TestSiblingTrials(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
	a, b := d.endpoints["a"], d.endpoints["b"]
	d.markUnhealthy(a)
	d.markUnhealthy(b)
	if d.acceptsCall(b) {
		t.Error("a trial at once")
	}
	d.recordSuccess(a, true)
	if !d.acceptsCall(b) {
		t.Error("no trial after the sibling's return")
	}
}

// TestStuckFactor guards against slots lost to calls that will never be answered.
func TestStuckFactor(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	if got := d.cancelFactor(); got != unresponsiveFactor {
		t.Errorf("at the start: %v", got)
	}
	d.unansweredShare = 0.9
	if got := d.cancelFactor(); got != stuckFactor {
		t.Errorf("with late calls unanswered: %v", got)
	}
}

// TestRoom guards against one queue that fills the holding room.
func TestRoom(t *testing.T) {
	s := plain()
	s.MaxQueued = 20
	d := start(t, s, Endpoint{ID: "b", Destination: 1}) // nothing is listed for destination 0
	refused := 0
	for i := range 20 {
		got := d.Handle(0, []Event{Arrived{ID: fmt.Sprint("m", i), TimeLeft: 10 * time.Second}})
		if strings.HasPrefix(said(got), "refuse") {
			refused++
		}
	}
	if refused != 5 {
		t.Errorf("%d of 20 refused, want those past three quarters of the room", refused)
	}
	expect(t, "another destination", d.Handle(0, []Event{Arrived{ID: "n", Destination: 1, TimeLeft: time.Second}}), "n>b")
}

// TestSeldomUsedConnectionsClose guards against many relays whose idle connections fill a small endpoint.
func TestSeldomUsedConnectionsClose(t *testing.T) {
	tests := []struct {
		name    string
		pitch   time.Duration // between messages
		connCap float64
		relays  int
		closes  bool
	}{
		{"one in many seconds", 15 * time.Second, 0, 8, true},
		{"one a second", time.Second, 0, 8, false},
		{"one a second, few connections", time.Second, 2, 8, true},
		{"few relays", 15 * time.Second, 0, 3, false},
		{"more relays than a host takes connections", 100 * ms, 0, 80, true},
	}
	for _, tt := range tests {
		s := plain()
		s.IdleConnTimeout, s.Instances = 10*time.Second, tt.relays
		d := start(t, s, Endpoint{ID: "a"})
		closes := false
		for i := range 5 {
			at, id := time.Duration(i+1)*tt.pitch, fmt.Sprint("m", i)
			d.Handle(at, []Event{arrive(id, 0)})
			d.endpoints["a"].connLimit = tt.connCap
			closes = false
			for _, a := range d.Handle(at+50*ms, []Event{AttemptEnded{ID: id, Endpoint: "a", Outcome: Succeeded, Final: true}}) {
				closes = closes || a == CloseIdleConns{Endpoint: "a"}
			}
		}
		if closes != tt.closes {
			t.Errorf("%s: closes %v", tt.name, closes)
		}
	}
}

// TestEvenShares guards against a pace that starves relays whose even share is a call in many seconds.
func TestEvenShares(t *testing.T) {
	for _, tt := range []struct {
		relays int
		want   float64
	}{{2, 2}, {400, minCallsPerSpan}} { // 4 a second are 2 for one of 2, 0.01 for one of 400: chance decides
		s := plain()
		s.Instances, s.Weights = tt.relays, WeightsNominal
		d := start(t, s, Endpoint{ID: "a", Weight: 4})
		if got := d.queues[0].sendRate; got != tt.want {
			t.Errorf("%d relays: pace %v, want %v", tt.relays, got, tt.want)
		}
	}
}

// TestRelaysDoNotKnockInStep guards against relays that are refused together and come back together.
func TestRelaysDoNotKnockInStep(t *testing.T) {
	s := plain()
	s.Instances, s.Weights = 400, WeightsNominal
	seen := map[time.Duration]bool{}
	for seed := range int64(5) {
		d, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		d.Handle(0, []Event{EndpointsChanged{Full: true, Endpoints: []Endpoint{{ID: "a", Weight: 4}}}, arrive("m", 0)})
		d.Handle(ms, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected}})
		seen[d.queues[0].backoffUntil] = true
	}
	if len(seen) < 4 {
		t.Errorf("five relays come back at %d moments", len(seen))
	}
}

// TestNoTimerWithoutCause guards against a timer every tick while a queue with a free token waits for a slot.
func TestNoTimerWithoutCause(t *testing.T) {
	s := plain()
	s.MaxInFlight, s.Weights = 1, WeightsNominal
	d := start(t, s, Endpoint{ID: "a", Weight: 5})
	for _, a := range d.Handle(0, []Event{arrive("m", 0), arrive("n", 0)}) {
		if w, ok := a.(SetTimer); ok && w.After < time.Second {
			t.Errorf("timer after %v", w.After)
		}
	}
}

// TestLostUnsafeAnswerFreesItsSlot guards against answers lost at unsafe calls, which filled all slots.
func TestLostUnsafeAnswerFreesItsSlot(t *testing.T) {
	s := plain()
	s.MaxInFlight = 1
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	d.queues[0].latency.observe(2, 0.1)
	d.unansweredShare = 0.9
	d.Handle(0, []Event{Arrived{ID: "m", Class: 2, TimeLeft: 20 * time.Second}})
	expect(t, "no slot is wanted", d.Handle(3*time.Second, []Event{TimerFired{}}), "")
	expect(t, "one is wanted", d.Handle(3100*ms, []Event{Arrived{ID: "n", Destination: 1, TimeLeft: 9 * time.Second}}), "cancel m/0")
	expect(t, "never twice", d.Handle(3105*ms, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Canceled}}), "fail m n>b")
}

// TestBorrowedLatency guards against queues that know nothing: a lost first call would hold its slot to its end.
func TestBorrowedLatency(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	d.Handle(0, []Event{arrive("m", 0)})
	d.Handle(400*ms, []Event{
		AttemptEnded{ID: "m", Endpoint: "a", Outcome: Succeeded, Latency: 400 * ms, Final: true},
		Arrived{ID: "n", Destination: 1, TimeLeft: 10 * time.Second},
	})
	q := d.queues[1]
	if q.latency.byClass[0] != 0.4 || q.latency.mean != 0.4 {
		t.Errorf("b borrows %v, %v, want what a took", q.latency.byClass[0], q.latency.mean)
	}
	q.latency.observe(0, 0.2)
	if got := q.latency.byClass[0]; math.Abs(got-0.3) > 1e-9 {
		t.Errorf("own first outcome counts half: %v, want 0.3", got)
	}
}

// TestTimerThatFiresEarly guards against a clock of coarser steps that uses up the timer of a last chance.
func TestTimerThatFiresEarly(t *testing.T) {
	d := start(t, plain())
	got := d.Handle(0, []Event{arrive("m", 0)})
	at := got[len(got)-1].(SetTimer).After
	got = d.Handle(at-400, []Event{TimerFired{}})
	if len(got) != 1 || got[0].(SetTimer).After > 10*ms {
		t.Fatalf("400 ns early: %v, want another timer", got)
	}
}

// TestImpatientClients guards against taking little time left for age: under overload all were refused.
func TestImpatientClients(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.latency.mean = 0.5
	q.arrivals.add(0, 100)
	q.shadowRejections.add(0, 1000) // λ - r < 0: the bound stays out of it
	expect(t, "2 s of 10 left, nothing held", d.Handle(0, []Event{Arrived{ID: "m", TimeLeft: 2 * time.Second}}), "m>a")
}

// TestOwnStall guards against holding a relay's own pause against its destinations.
func TestOwnStall(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.latency.observe(0, 0.1)
	d.Handle(0, []Event{arrive("m", 0)})
	d.Handle(2*time.Second, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Succeeded, Latency: 100 * ms, Final: true}})
	if math.Abs(q.latency.mean-0.1) > 1e-9 || d.unansweredShare != 0 {
		t.Errorf("mean %v, unanswered %v after a pause of our own", q.latency.mean, d.unansweredShare)
	}
}

// TestOneClassFailing guards against an endpoint that fails one class and serves the others.
func TestOneClassFailing(t *testing.T) {
	s := plain()
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b"})
	d.Handle(0, []Event{arrive("m", 0)})
	expect(t, "a retry goes to the sibling", d.Handle(ms, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Failed}}), "m>b")
	d.Handle(2*ms, []Event{AttemptEnded{ID: "m", Endpoint: "b", Attempt: 1, Outcome: Succeeded, Final: true}})
	expect(t, "so does its class", d.Handle(3*ms, []Event{arrive("n", 0)}), "n>b")
	d.Handle(4*ms, []Event{AttemptEnded{ID: "n", Endpoint: "b", Outcome: Succeeded, Final: true}})
	d.endpoints["a"].lastUsed = 4 * ms
	expect(t, "others do not", d.Handle(5*ms, []Event{arrive("o", 1)}), "o>a")
}

// TestUrgentFirst guards against slots given to what can wait, where few slots make every turn a tie.
func TestUrgentFirst(t *testing.T) {
	s := plain()
	s.MaxInFlight = 1
	s.Classes[1].LatencyObjective = 8 * time.Second
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	expect(t, "one slot", d.Handle(0, []Event{
		Arrived{ID: "patient", Class: 1, TimeLeft: 10 * time.Second},
		Arrived{ID: "urgent", Destination: 1, TimeLeft: 10 * time.Second},
	}), "urgent>b")
}

// TestFewKnocksAtSize guards against hundreds of relays whose further knocks push over a destination that
// comes back cold: the even share of 4 calls a second is 0.01 for one of 400, and 2 for one of 2.
func TestFewKnocksAtSize(t *testing.T) {
	for _, tt := range []struct {
		relays      int
		outcome     Outcome
		wait        time.Duration
		least, most int // of 40 relays are sick after one
	}{
		{400, Rejected, 0, 10, 30},
		{400, ConnectError, 0, 10, 30},
		{400, Rejected, time.Second, 40, 40},
		{2, Rejected, 0, 0, 0},
		{2, ConnectError, 0, 0, 0},
	} {
		sick := 0
		for seed := range int64(40) {
			s := plain()
			s.Instances, s.Weights = tt.relays, WeightsNominal
			d, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			d.Handle(0, []Event{EndpointsChanged{Full: true, Endpoints: []Endpoint{{ID: "a", Weight: 4}}}, arrive("m", 0)})
			d.Handle(ms, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: tt.outcome, RetryAfter: tt.wait}})
			if d.endpoints["a"].health.isUnhealthy() {
				sick++
			}
			d.recordRejection(d.queues[0], false)
			if d.recordRejection(d.queues[0], false); tt.relays > 2 && !d.endpoints["a"].health.isUnhealthy() {
				t.Errorf("%d relays, outcome %d: not sick after more", tt.relays, tt.outcome)
			}
		}
		if sick < tt.least || sick > tt.most {
			t.Errorf("%d relays, outcome %d, wait %v: %d of 40 sick", tt.relays, tt.outcome, tt.wait, sick)
		}
	}
}

// TestReplacedEndpointsAreForgotten guards against routes and endpoints that left and are walked for ever.
func TestReplacedEndpointsAreForgotten(t *testing.T) {
	for kind := range 3 {
		d := start(t, plain())
		for i := range 200 {
			now := time.Duration(i) * time.Second
			d.Handle(now, []Event{EndpointsChanged{Full: true, Endpoints: []Endpoint{
				{ID: fmt.Sprint("a", i), Kind: kind},
				{ID: fmt.Sprint("b", i), Kind: kind},
			}}, arrive(fmt.Sprint("m", i), 0)})
			for id, m := range d.messages {
				d.Handle(now+100*ms, []Event{AttemptEnded{ID: id, Endpoint: m.attempts[0].call.endpoint.ID, Outcome: Succeeded, Final: true}})
			}
		}
		if len(d.endpoints) != 2 || len(d.queues) > 3 || len(d.destinations) != 1 || len(d.activeQueues)+len(d.messages)+len(d.unfinished) != 0 {
			t.Errorf("kind %d: %d endpoints, %d queues, %d active, %d messages", kind, len(d.endpoints), len(d.queues),
				len(d.activeQueues), len(d.messages))
		}
	}
}

// TestBadInput guards against values that make no sense: sensible events after them are decided as ever.
func TestBadInput(t *testing.T) {
	s := plain()
	s.Weights = WeightsNominal
	for _, weight := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -3, 0} {
		d := start(t, s, Endpoint{ID: "a", Weight: weight})
		d.Handle(0, []Event{EndpointsChanged{Endpoints: []Endpoint{{ID: "a", Weight: 5}}}, arrive("m", 0)})
		if q := d.queues[0]; q.sendRate != 5 || len(q.inFlight) != 1 {
			t.Errorf("after weight %v: pace %v, %d calls out", weight, q.sendRate, len(q.inFlight))
		}
	}
	d := start(t, s, Endpoint{ID: "a"})
	d.Handle(0, []Event{arrive("m", 0)})
	d.Handle(ms, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected, RetryAfter: math.MaxInt64}})
	expect(t, "an endless wait is kept", d.Handle(time.Second, []Event{arrive("n", 0)}), "refuse n")
	expect(t, "no time left", d.Handle(time.Second, []Event{Arrived{ID: "o", TimeLeft: -time.Second}}), "refuse o")
}

// BenchmarkHandle reports what a batch costs with 1,000 endpoints listed.
func BenchmarkHandle(b *testing.B) {
	s := plain()
	d, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	var list []Endpoint
	for i := range 1000 {
		list = append(list, Endpoint{ID: fmt.Sprint("e", i), Destination: i / 2})
	}
	d.Handle(0, []Event{EndpointsChanged{Full: true, Endpoints: list}})
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprint("m", i)
		now += 10 * ms
		for _, a := range d.Handle(now, []Event{Arrived{ID: id, Destination: i % 500, TimeLeft: 10 * time.Second}}) {
			if a, ok := a.(Send); ok {
				d.Handle(now+5*ms, []Event{AttemptEnded{ID: id, Endpoint: a.Endpoint, Outcome: Succeeded, Final: true}})
			}
		}
	}
}

// TestNewEndpointOfADestinationThatIsOut guards against all relays rushing to a replacement at once.
func TestNewEndpointOfADestinationThatIsOut(t *testing.T) {
	for _, gone := range []bool{false, true} { // the old endpoint stays, or is replaced
		d := start(t, plain(), Endpoint{ID: "a"})
		d.markUnhealthy(d.endpoints["a"])
		d.Handle(ms, []Event{EndpointsChanged{Endpoints: []Endpoint{{ID: "a", Removed: gone}, {ID: "b"}}}})
		if !d.endpoints["b"].health.isUnhealthy() {
			t.Errorf("old one gone %v: the new one is not on its budget", gone)
		}
		d.recordSuccess(d.endpoints["b"], true)
		d.Handle(2*ms, []Event{EndpointsChanged{Endpoints: []Endpoint{{ID: "c"}}}})
		if d.endpoints["c"].health.isUnhealthy() {
			t.Error("a new one after the return is on a budget")
		}
	}
}

// TestListThatEmptiesAndComesBack guards against state that stays spoilt: calls are out while the list empties, the
// weight and the zone change, and the clock jumps back and far ahead.
func TestListThatEmptiesAndComesBack(t *testing.T) {
	for kind := range 3 {
		s := plain()
		s.Weights = WeightsNominal
		d := start(t, s, Endpoint{ID: "a", Kind: kind, Weight: 5})
		expect(t, "sent", d.Handle(time.Second, []Event{arrive("m", 0)}), "m>a")
		expect(t, "held", d.Handle(2*time.Second, []Event{EndpointsChanged{Full: true}, arrive("n", 0)}), "")
		expect(t, "its outcome", d.Handle(0, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Succeeded, Final: true}}), "")
		expect(t, "back", d.Handle(3*time.Second, []Event{EndpointsChanged{Endpoints: []Endpoint{
			{ID: "a", Kind: kind, Weight: 7, Zone: 1},
		}}}), "n>a")
		expect(t, "far ahead", d.Handle(1000*time.Hour, []Event{
			AttemptEnded{ID: "n", Endpoint: "a", Outcome: Succeeded, Final: true},
			arrive("o", 0),
		}), "o>a")
		if d.inFlight != 1 || len(d.messages) != 1 {
			t.Errorf("kind %d: %d calls out, %d messages", kind, d.inFlight, len(d.messages))
		}
	}
}
