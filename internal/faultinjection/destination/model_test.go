package destination

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// newScenario returns a scenario with one class, whose mean service time is 100 ms, and one destination with the given TOML lines.
func newScenario(tb rapid.TB, destinationLines string) *scenario.Scenario {
	tb.Helper()
	s, err := scenario.Parse("t", []byte(`version=1
name="t"
length_s=100
relays=1
[load]
rate=1
[[class]]
name="c"
aim_s=1
deadline_s=12
effect="safe"
service_ms=100
[[partner]]
name="p"
share=1
`+destinationLines))
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

func newModel(tb rapid.TB, destinationLines string) *Model {
	tb.Helper()
	return New(newScenario(tb, destinationLines), 0, scenario.NewRandomStreams(1))
}

// loadResult summarizes the completions of the attempts that runLoad sent.
type loadResult struct {
	delivered, rejected int
	meanTime            float64 // of the delivered attempts, in seconds
}

// runLoad sends attempts to the first endpoint of a model as a Poisson process with a rate per second, and waits for their completions.
func runLoad(m *Model, rate float64, attempts int) loadResult {
	random := rand.New(rand.NewPCG(7, 7))
	arrivedAt := map[*Attempt]time.Duration{}
	var result loadResult
	now, totalTime := time.Duration(0), 0.0
	count := func(actions []Action) {
		for _, action := range actions {
			completion := action.Completion
			switch completion.Outcome {
			case OutcomeDelivered:
				result.delivered++
				totalTime += (completion.At - arrivedAt[completion.Attempt]).Seconds()
			case OutcomeUnavailable:
				result.rejected++
			default: // the caller notices other outcomes, because delivered and rejected do not add up to the attempts
			}
			delete(arrivedAt, completion.Attempt)
		}
	}
	for range attempts {
		now += scenario.Seconds(random.ExpFloat64() / rate)
		count(m.Advance(now))
		attempt := &Attempt{ServiceTime: scenario.Seconds(0.1 * random.ExpFloat64()), Draw: random.Float64()}
		arrivedAt[attempt] = now
		count(m.Arrive(now, 0, attempt))
	}
	count(m.Advance(now + time.Hour))
	result.meanTime = totalTime / float64(result.delivered)
	return result
}

// An endpoint does exactly the work of an attempt, also when its speed changes several times while it executes the attempt.
func TestModel_KeepsWorkWhenSpeedChanges(t *testing.T) {
	m := newModel(t, "slots=1\ncold_share=0.2\nwarm_s=10\n")
	m.Recover(0, AllEndpoints, true) // capacity in slow start: 0.2 + 0.08 t
	m.Arrive(0, 0, &Attempt{ServiceTime: 2 * time.Second, Draw: 1})
	m.SetSlowdown(time.Second, AllEndpoints, 2)      // work done in the first second: 0.24
	m.SetStopped(2*time.Second, AllEndpoints, true)  // + (0.28+0.36)/2/2 = 0.16
	m.SetStopped(5*time.Second, AllEndpoints, false) // + 0
	m.SetSlowdown(5*time.Second, AllEndpoints, 1)    // capacity from here 0.6 + 0.08 t, remaining work 1.6: t = 2.31 s
	actions := m.Advance(7 * time.Second)            // before the attempt is due
	actions = append(actions, m.Advance(8*time.Second)...)
	if len(actions) != 1 || math.Abs(actions[0].Completion.At.Seconds()-7.31) > 0.03 {
		t.Errorf("got actions %+v, want one completion at 7.31 s", actions)
		for _, action := range actions {
			t.Error(action.Completion.At)
		}
	}
}

// The key of an admitted attempt is remembered for the key TTL. A duplicate within the TTL has no effect, and an attempt after it has.
func TestModel_RemembersKeys(t *testing.T) {
	m := newModel(t, "slots=5\n")
	executions := func(at time.Duration) (n int) {
		attempt := &Attempt{Key: "k", KeyTTL: 15 * time.Second, ServiceTime: time.Second, Draw: 1}
		for _, action := range append(m.Arrive(at, 0, attempt), m.Advance(at+2*time.Second)...) {
			if action.Completion.Executed {
				n++
			}
		}
		return n
	}
	if first, duplicate, expired := executions(0), executions(14*time.Second), executions(17*time.Second); first != 1 || duplicate != 0 || expired != 1 {
		t.Errorf("first, duplicate and expired attempt executed %d, %d, %d times; want 1, 0, 1", first, duplicate, expired)
	}
	m.ExpireKeys(time.Hour)
	if len(m.keys) != 0 {
		t.Error("ExpireKeys did not delete an expired key")
	}
}

// Under random faults and cancellations each attempt completes at most once and never before it is due, the concurrency and the
// queue length stay within their bounds, and after an advance the next event is always in the future, so that a caller that waits
// for this event makes progress.
func TestModel_CompletesEachAttemptOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SampledFrom([]string{
			"", "limit={rate=5,burst=2}\n", "limit={count=3,span_s=1}\ntells=\"wait\"\n",
			"pause_every_s=0.5\npause_ms=[100,300]\n", "cancelled=\"stops\"\nerror_rate=0.3\n",
		}).Draw(t, "lines")
		r := &randomRun{model: newModel(t, "endpoints=2\nslots=2\nqueue=2\n"+lines), completed: map[*Attempt]bool{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			r.step(t)
			r.check(t, r.model.Advance(r.now))
			for _, e := range r.model.endpoints {
				if len(e.executing) > 2 || len(e.queue) > 2 {
					t.Fatalf("%d attempts executing and %d queued, want at most 2 of each", len(e.executing), len(e.queue))
				}
			}
			if next := r.model.NextDue(); next <= r.now {
				t.Fatalf("next event due at %v, which is not after the present, %v", next, r.now)
			}
		}
	})
}

// randomRun makes random calls on a model.
type randomRun struct {
	model     *Model
	now       time.Duration
	attempts  []*Attempt
	completed map[*Attempt]bool
}

// step makes one random call.
func (r *randomRun) step(t *rapid.T) {
	endpoint := rapid.IntRange(0, 1).Draw(t, "endpoint")
	switch rapid.IntRange(0, 8).Draw(t, "call") {
	case 0:
		r.check(t, r.model.Fail(r.now, endpoint, Mode(rapid.IntRange(1, 5).Draw(t, "mode")), 0.5))
	case 1:
		r.check(t, r.model.Recover(r.now, endpoint, true))
	case 2:
		r.check(t, r.model.SetSlowdown(r.now, endpoint, float64(rapid.IntRange(1, 20).Draw(t, "slowdown"))))
	case 3:
		if len(r.attempts) > 0 {
			r.check(t, r.model.Cancel(r.now, r.attempts[rapid.IntRange(0, len(r.attempts)-1).Draw(t, "cancelled")]))
		}
	case 4:
		r.check(t, r.model.SetStopped(r.now, endpoint, rapid.Bool().Draw(t, "stopped")))
	default:
		attempt := &Attempt{
			ServiceTime: time.Duration(rapid.IntRange(0, 500).Draw(t, "service time")) * time.Millisecond,
			Draw:        rapid.Float64Range(0, 1).Draw(t, "draw"),
		}
		r.attempts = append(r.attempts, attempt)
		r.check(t, r.model.Arrive(r.now, endpoint, attempt))
	}
}

func (r *randomRun) check(t *rapid.T, actions []Action) {
	t.Helper()
	for _, action := range actions {
		completion := action.Completion
		if completion == nil {
			continue
		}
		if r.completed[completion.Attempt] {
			t.Fatal("an attempt completed twice")
		}
		if completion.At > r.now {
			t.Fatalf("attempt completed at %v, before it is due at %v", r.now, completion.At)
		}
		r.completed[completion.Attempt] = true
	}
}
