package policy_test

import (
	"fmt"
	"math/rand"
	"reflect"
	"sort"
	"strings"
	"testing"
	"time"

	"frostlink/policy"
)

// runSeed runs a Dispatcher on random events under the checker and returns its actions.
func runSeed(seed int64, steps int) ([]policy.Action, error) {
	return runSeedWith(seed, steps, nil)
}

// runSeedWith does the same with background messages, which are drawn by redeliveries.
func runSeedWith(seed int64, steps int, redeliveries *rand.Rand) ([]policy.Action, error) {
	r := rand.New(rand.NewSource(seed))
	s := randomSettings(r)
	d, err := policy.New(s, seed)
	if err != nil {
		return nil, err
	}
	g := &generator{
		random: r, settings: s, checker: newChecker(s), now: time.Hour, usualOutcome: make([]policy.Outcome, 5),
		callOutcome: map[string]policy.Outcome{}, redeliveries: redeliveries,
	}
	var all []policy.Action
	for range steps {
		if r.Intn(600) == 0 { // the process is killed and restarted
			if d, err = policy.New(s, seed); err != nil {
				return nil, err
			}
			g.checker, g.timers = newChecker(s), nil
			g.endpoints = nil
		}
		events := g.batch()
		g.checker.events(g.now, events)
		actions := d.Handle(g.now, events)
		all = append(all, actions...)
		for _, a := range actions {
			switch a := a.(type) {
			case policy.SetTimer:
				g.timers = append(g.timers, g.now+a.After)
			case policy.CancelAttempt:
				m := g.checker.messages[a.ID]
				m.attempts[a.Attempt].timeout = max(1, g.now-m.attempts[a.Attempt].sent)
			}
		}
		if err := g.checker.checkActions(actions); err != nil {
			return all, err
		}
	}
	return all, nil
}

func TestRules_SeededEvents(t *testing.T) {
	for seed := range int64(150) {
		if _, err := runSeed(seed, 500); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// Background messages with earlier attempts are held to the same rules, over all IDs of a message, and never wait.
func TestRules_SeededRedeliveries(t *testing.T) {
	sent := 0
	for seed := range int64(150) {
		actions, err := runSeedWith(seed, 500, rand.New(rand.NewSource(seed)))
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		for _, a := range actions {
			if send, ok := a.(policy.Send); ok && strings.HasPrefix(send.ID, "again") {
				sent++
			}
		}
	}
	if sent < 100 {
		t.Errorf("only %d background messages were sent", sent)
	}
}

func FuzzRules(f *testing.F) {
	f.Add(int64(1))
	f.Fuzz(func(t *testing.T, seed int64) {
		if _, err := runSeed(seed, 300); err != nil {
			t.Error(err)
		}
	})
}

func TestHandle_SameEventsSameActions(t *testing.T) {
	for seed := range int64(10) {
		a, _ := runSeed(seed, 300)
		b, _ := runSeed(seed, 300)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d: two runs on the same events differ", seed)
		}
	}
}

// TestHandle_InterleavedDispatchers guards against state shared between Dispatchers: two that run
// interleaved must give the same actions as one that runs alone.
func TestHandle_InterleavedDispatchers(t *testing.T) {
	s := randomSettings(rand.New(rand.NewSource(3)))
	feed := func(d *policy.Dispatcher, i int) []policy.Action {
		var events []policy.Event
		if i == 0 {
			for destination := range 4 {
				events = append(events, policy.EndpointsChanged{Endpoints: []policy.Endpoint{
					{ID: fmt.Sprint("e", destination), Destination: destination, Kind: destination % 3, Weight: 5},
				}})
			}
		}
		for n := range 3 {
			events = append(events, policy.Arrived{
				ID: fmt.Sprint("m", i, "-", n), Class: n, Destination: (i + n) % 4,
				TimeLeft: s.Classes[n].Deadline, OrderKey: "k",
			})
		}
		return d.Handle(time.Duration(i)*50*time.Millisecond, events)
	}
	newDispatcher := func() *policy.Dispatcher {
		d, err := policy.New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	alone, a, b := newDispatcher(), newDispatcher(), newDispatcher()
	for i := range 100 {
		want := feed(alone, i)
		if got := feed(a, i); !reflect.DeepEqual(got, want) {
			t.Fatalf("batch %d: first interleaved Dispatcher %v, alone %v", i, got, want)
		}
		if got := feed(b, i); !reflect.DeepEqual(got, want) {
			t.Fatalf("batch %d: second interleaved Dispatcher %v, alone %v", i, got, want)
		}
	}
}

// TestChecker_CatchesViolations checks for each rule that the checker detects a sequence that
// violates it.
func TestChecker_CatchesViolations(t *testing.T) {
	s := randomSettings(rand.New(rand.NewSource(1)))
	s.Hedging, s.Instances, s.OrderKeyCooldown = false, 2, 0
	s.Classes = []policy.Class{
		{Deadline: 5 * time.Second, Idempotency: policy.Idempotent},
		{Deadline: 9 * time.Second, Idempotency: policy.IdempotentByKey, KeyTTL: 2 * time.Second},
		{Deadline: 9 * time.Second, Idempotency: policy.NotIdempotent, Ordered: true},
	}
	list := policy.EndpointsChanged{Full: true, Endpoints: []policy.Endpoint{{ID: "a", Weight: 3}, {ID: "b", Weight: 3}}}
	arrival := func(id string, class int) policy.Event {
		return policy.Arrived{ID: id, Class: class, TimeLeft: s.Classes[class].Deadline, OrderKey: "k"}
	}
	send := func(id string) policy.Action { return policy.Send{ID: id, Endpoint: "a"} }
	type step struct {
		at      time.Duration
		events  []policy.Event
		actions []policy.Action
	}
	ended := func(id string, n int, o policy.Outcome) policy.Event {
		return policy.AttemptEnded{ID: id, Endpoint: "a", Attempt: n, Outcome: o}
	}
	var trials []step
	for i := range 40 {
		id := fmt.Sprint("m", i)
		at := time.Duration(i) * 50 * time.Millisecond
		trials = append(trials, step{at, []policy.Event{list, arrival(id, 0)}, []policy.Action{send(id)}},
			step{at, []policy.Event{ended(id, 0, policy.ConnectError)}, nil})
	}
	tests := map[string][]step{
		"1: no outcome":             {{0, []policy.Event{list, arrival("m", 0)}, nil}, {6 * time.Second, nil, nil}},
		"1: two outcomes":           {{0, []policy.Event{arrival("m", 0)}, []policy.Action{policy.Fail{ID: "m"}, policy.Reject{ID: "m"}}}},
		"1: sent after its outcome": {{0, []policy.Event{list, arrival("m", 0)}, []policy.Action{policy.Fail{ID: "m"}, send("m")}}},
		"2: two attempts in flight": {{0, []policy.Event{list, arrival("m", 0)}, []policy.Action{send("m"), send("m")}}},
		"2: not idempotent, sent again": {
			{0, []policy.Event{list, arrival("m", 2)}, []policy.Action{send("m")}},
			{1, []policy.Event{ended("m", 0, policy.Failed)}, []policy.Action{send("m")}},
		},
		"2: not idempotent, rejected": {
			{0, []policy.Event{list, arrival("m", 2)}, []policy.Action{send("m")}},
			{1, []policy.Event{ended("m", 0, policy.ConnectionReset)}, []policy.Action{policy.Reject{ID: "m"}}},
		},
		"2: key expired": {
			{0, []policy.Event{list, arrival("m", 1)}, []policy.Action{send("m")}},
			{3 * time.Second, []policy.Event{ended("m", 0, policy.TimedOut)}, []policy.Action{send("m")}},
		},
		"3: draining": {{0, []policy.Event{list, arrival("m", 0), policy.EndpointsChanged{Endpoints: []policy.Endpoint{
			{ID: "a", Draining: true},
		}}}, []policy.Action{send("m")}}},
		"4: too many trial requests": trials,
		"5: out of order": {{
			0,
			[]policy.Event{list, arrival("m", 2), arrival("n", 2)},
			[]policy.Action{send("m"), send("n")},
		}},
		"6: before Retry-After has passed": {
			{0, []policy.Event{list, arrival("m", 0)}, []policy.Action{send("m")}},
			{
				1,
				[]policy.Event{policy.AttemptEnded{ID: "m", Endpoint: "a", Outcome: policy.Rejected, RetryAfter: time.Second}},
				[]policy.Action{send("m")},
			},
		},
	}
	names := make([]string, 0, len(tests))
	for name := range tests {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			c := newChecker(s)
			var err error
			for _, st := range tests[name] {
				c.events(st.at, st.events)
				if err = c.checkActions(st.actions); err != nil {
					break
				}
			}
			if err == nil {
				t.Error("violation not detected")
			}
		})
	}
}
