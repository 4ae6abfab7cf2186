package destination

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// parse makes a script with one class of mean service time 100 ms and one partner with the lines given.
func parse(t testing.TB, partnerLines string) *scenario.Scenario {
	t.Helper()
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
`+partnerLines))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newPartner(t testing.TB, lines string) *Model {
	return New(parse(t, lines), 0, scenario.NewRandomStreams(1))
}

// play lets calls come at a mean rate for so many and sums up what became of them.
func play(p *Model, rate float64, calls int) (served, full int, meanTime float64) {
	chance := rand.New(rand.NewPCG(7, 7))
	began := map[*Attempt]time.Duration{}
	now, sum := time.Duration(0), 0.0
	count := func(actions []Action) {
		for _, a := range actions {
			switch d := a.Completion; d.Outcome {
			case OutcomeDelivered:
				served++
				sum += (d.At - began[d.Attempt]).Seconds()
			case OutcomeUnavailable:
				full++
			}
			delete(began, a.Completion.Attempt)
		}
	}
	for range calls {
		now += scenario.Seconds(chance.ExpFloat64() / rate)
		count(p.Advance(now))
		c := &Attempt{ServiceTime: scenario.Seconds(0.1 * chance.ExpFloat64()), Draw: chance.Float64()}
		began[c] = now
		count(p.Arrive(now, 0, c))
	}
	count(p.Advance(now + time.Hour))
	return served, full, sum / float64(served)
}

// The model check: at 0.5, 0.9 and 1.3 of what it can do a partner does what the arithmetic of its script says.
func TestPartnerIsAnMMcKQueue(t *testing.T) {
	const slots, queue, calls = 4, 8, 200_000
	for _, load := range []float64{0.5, 0.9, 1.3} {
		rate := load * slots / 0.1
		p := newPartner(t, fmt.Sprintf("slots=%d\nqueue=%d\n", slots, queue))
		served, full, mean := play(p, rate, calls)
		blocked, want := MMcK(rate, 0.1, slots, slots+queue)
		got := float64(full) / calls
		if math.Abs(got-blocked) > 0.004 || math.Abs(mean/want-1) > 0.02 || served+full != calls {
			t.Errorf("load %v: %.4f turned away (want %.4f), %.4f s (want %.4f), %d of %d ended", load, got, blocked,
				mean, want, served+full, calls)
		}
	}
}

// A limit lets through what it says, whatever is asked for.
func TestLimits(t *testing.T) {
	for _, c := range []struct {
		lines string
		rate  float64
		want  float64 // calls a second served
	}{
		{"slots=50\nlimit={count=20,span_s=1}\n", 60, 20},
		{"slots=50\nlimit={count=20,span_s=2}\n", 60, 10},
		{"slots=50\nlimit={rate=20,burst=5}\n", 60, 20},
		// Each refusal takes from the limit what a call would: a bucket that is sent three times its rate stays empty.
		{"slots=50\nlimit={rate=20,burst=5}\nrefused_counted=true\n", 60, 0},
		// Half the limit's calls meet a queue that is full, and use the limit up all the same.
		{"slots=1\nqueue=0\nlimit={count=20,span_s=1}\nrefused_counted=true\n", 40, 5},
	} {
		p := newPartner(t, c.lines)
		const calls = 30_000
		served, full, _ := play(p, c.rate, calls)
		if got := float64(served) / (calls / c.rate); math.Abs(got-c.want) > 0.1*c.want+0.3 || served+full != calls {
			t.Errorf("%q: %.2f a second served, want %.2f", c.lines, got, c.want)
		}
	}
}

// A wait that is told is honest: a call at its end is taken, and one just before it is not.
func TestWaitsAreHonest(t *testing.T) {
	for _, lines := range []string{"slots=9\nlimit={count=2,span_s=1}\n", "slots=9\nlimit={rate=2,burst=2}\n", "slots=2\nqueue=0\n"} {
		for _, early := range []time.Duration{0, 2 * time.Millisecond} {
			p := newPartner(t, lines+"tells=\"wait\"\n")
			at := 300 * time.Millisecond
			var wait time.Duration
			for range 3 {
				for _, a := range p.Arrive(at, 0, &Attempt{ServiceTime: 200 * time.Millisecond, Draw: 1}) {
					if a.Completion.Outcome == OutcomeRetryAfter {
						wait = a.Completion.RetryAfter
					}
				}
			}
			if wait <= 0 {
				t.Fatalf("%q: no wait was told", lines)
			}
			refused := false
			for _, a := range p.Arrive(at+wait-early, 0, &Attempt{Draw: 1}) {
				refused = refused || a.Completion.Outcome == OutcomeRetryAfter
			}
			if refused != (early > 0) {
				t.Errorf("%q: %v before the wait's end: refused %v", lines, early, refused)
			}
		}
	}
}

// After an outage a partner has its cold share, is warm in time, and falls over exactly when it is sent more than
// the rule's multiple of what it can do.
func TestColdReturn(t *testing.T) {
	const lines = "slots=40\nqueue=100\ncold_share=0.2\nwarm_s=10\nfallen_for_s=7\n"
	p := newPartner(t, lines)
	p.Fail(0, -1, ModeRefusing, 0)
	if got := p.Capacity(); got != 0 {
		t.Errorf("capacity %v while down", got)
	}
	p.Recover(time.Second, -1, true)
	for at, want := range map[time.Duration]float64{time.Second: 80, 6 * time.Second: 240, 11 * time.Second: 400} {
		q := newPartner(t, lines)
		q.Recover(time.Second, -1, true)
		q.Advance(at)
		if got := q.Capacity(); math.Abs(got-want) > 1e-6 {
			t.Errorf("capacity at %v is %v, want %v", at, got, want)
		}
	}
	budget := int(2.5*80*1.5) + OverloadSlack
	for i := range budget {
		if p.Arrive(time.Second, 0, &Attempt{ServiceTime: time.Millisecond, Draw: 1}); p.Overloads() > 0 {
			t.Fatalf("fell over at call %d of %d", i+1, budget)
		}
	}
	changes := 0
	for _, a := range p.Arrive(time.Second, 0, &Attempt{Draw: 1}) {
		if a.ModeChange != nil && a.ModeChange.Mode == ModeRefusing {
			changes++
		}
	}
	if p.Overloads() != 1 || changes != 1 || p.Mode(0) != ModeRefusing {
		t.Errorf("%d falls, %d changes after one call too many", p.Overloads(), changes)
	}
	back := p.Advance(8 * time.Second)
	if len(back) != 1 || back[0].ModeChange == nil || back[0].ModeChange.Mode != ModeServing || !p.Cold() {
		t.Errorf("after its fall: %+v", back)
	}
}

// However often the speed changes, a call takes as much work as it brought.
func TestWorkIsKept(t *testing.T) {
	p := newPartner(t, "slots=1\ncold_share=0.2\nwarm_s=10\n")
	p.Recover(0, -1, true) // cold: 0.2 + 0.08 t
	p.Arrive(0, 0, &Attempt{ServiceTime: 2 * time.Second, Draw: 1})
	p.SetSlowdown(time.Second, -1, 2)      // done: 0.24
	p.SetStopped(2*time.Second, -1, true)  // + (0.28+0.36)/2/2 = 0.16
	p.SetStopped(5*time.Second, -1, false) // + 0
	p.SetSlowdown(5*time.Second, -1, 1)    // from here 0.6 + 0.08 t, 1.6 to do: t = 2.337 s
	done := p.Advance(7 * time.Second)     // too early
	done = append(done, p.Advance(8e9)...) // 8 s
	if len(done) != 1 || math.Abs(done[0].Completion.At.Seconds()-7.31) > 0.03 {
		t.Errorf("done %+v", done)
		for _, d := range done {
			t.Error(d.Completion.At)
		}
	}
}

// A key is remembered from the first call on that may have its effect, and a repeat within its time has none.
func TestKeysAreRemembered(t *testing.T) {
	p := newPartner(t, "slots=5\n")
	ran := func(at time.Duration) (n int) {
		for _, a := range append(p.Arrive(at, 0, &Attempt{Key: "k", KeyTTL: 15 * time.Second, ServiceTime: time.Second, Draw: 1}), p.Advance(at+2*time.Second)...) {
			if a.Completion.Executed {
				n++
			}
		}
		return n
	}
	if a, b, c := ran(0), ran(14*time.Second), ran(17*time.Second); a != 1 || b != 0 || c != 1 {
		t.Errorf("ran %d, %d, %d times; want once, not, once", a, b, c)
	}
	p.ExpireKeys(time.Hour)
	if len(p.keys) != 0 {
		t.Error("keys are kept for good")
	}
}

// Whatever comes, each call ends at most once, never after it was lost, and time does not stand still.
func TestEachCallEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SampledFrom([]string{
			"", "limit={rate=5,burst=2}\n", "limit={count=3,span_s=1}\ntells=\"wait\"\n",
			"pause_every_s=0.5\npause_ms=[100,300]\n", "cancelled=\"stops\"\nerror_rate=0.3\n",
		}).Draw(t, "lines")
		s, err := scenario.Parse("t", []byte("version=1\nname=\"t\"\nlength_s=9\nrelays=1\n[load]\nrate=1\n[[class]]\nname=\"c\"\naim_s=1\n"+
			"deadline_s=9\neffect=\"safe\"\nservice_ms=100\n[[partner]]\nname=\"p\"\nshare=1\nendpoints=2\nslots=2\nqueue=2\n"+lines))
		if err != nil {
			t.Fatal(err)
		}
		p := New(s, 0, scenario.NewRandomStreams(1))
		ended, now := map[*Attempt]bool{}, time.Duration(0)
		var out []*Attempt
		take := func(actions []Action) {
			for _, a := range actions {
				if a.Completion == nil {
					continue
				}
				if ended[a.Completion.Attempt] {
					t.Fatal("a call ended twice")
				}
				if a.Completion.At > now {
					t.Fatalf("done at %v before it is due, at %v", now, a.Completion.At)
				}
				ended[a.Completion.Attempt] = true
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			at := rapid.IntRange(0, 1).Draw(t, "endpoint")
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				take(p.Fail(now, at, Mode(rapid.IntRange(1, 5).Draw(t, "mode")), 0.5))
			case 1:
				take(p.Recover(now, at, true))
			case 2:
				take(p.SetSlowdown(now, at, float64(rapid.IntRange(1, 20).Draw(t, "slow"))))
			case 3:
				if len(out) > 0 {
					take(p.Cancel(now, out[rapid.IntRange(0, len(out)-1).Draw(t, "leaves")]))
				}
			case 4:
				take(p.SetStopped(now, at, rapid.Bool().Draw(t, "stop")))
			default:
				c := &Attempt{ServiceTime: time.Duration(rapid.IntRange(0, 500).Draw(t, "work")) * time.Millisecond, Draw: rapid.Float64Range(0, 1).Draw(t, "chance")}
				out = append(out, c)
				take(p.Arrive(now, at, c))
			}
			take(p.Advance(now))
			for _, e := range p.endpoints {
				if len(e.running) > 2 || len(e.queue) > 2 {
					t.Fatalf("%d run and %d wait", len(e.running), len(e.queue))
				}
			}
			if next := p.NextDue(); next <= now {
				t.Fatalf("something is due at %v, and it is %v", next, now)
			}
		}
	})
}

// A partner that lowers its limit takes that share of it, says so, and takes all of it again.
func TestLower(t *testing.T) {
	for _, limit := range []string{"limit = { count = 20, span_s = 1 }", "limit = { rate = 20, burst = 5 }"} {
		p := newPartner(t, limit+"\nslots = 50")
		for i, share := range []float64{1, 0.25, 0, 1} {
			from := time.Duration(i) * 10 * time.Second
			p.LowerLimit(from, share)
			taken := 0
			for n := range 500 { // 50 a second
				c := &Attempt{ID: fmt.Sprint(i, n), ServiceTime: time.Millisecond}
				refused := false
				for _, a := range p.Arrive(from+time.Duration(n)*20*time.Millisecond, 0, c) {
					refused = refused || a.Completion != nil && a.Completion.Attempt == c && a.Completion.Outcome == OutcomeUnavailable
				}
				if !refused {
					taken++
				}
			}
			if want := 200 * share; math.Abs(float64(taken)-want) > 6 { // a burst, and what is cut off of a span
				t.Errorf("%s lowered to %v: %d taken in 10 s, want %v", limit, share, taken, want)
			}
		}
	}
}
