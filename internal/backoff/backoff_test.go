package backoff

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Every delay lies in its window, windows double up to the most, and a success begins anew; the same seed draws the same.
func TestWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, 60_000).Draw(t, name)) * time.Millisecond
		}
		least, span, most, seed := ms("least"), ms("span"), ms("most"), rapid.Int64().Draw(t, "seed")
		b, same := New(least, span, most, seed), New(least, span, most, seed)
		if d := b.Start(); d < 0 || d > max(span, least) || d != same.Start() {
			t.Fatalf("start %v", d)
		}
		for range rapid.IntRange(1, 3).Draw(t, "rounds") {
			window := max(span, least)
			for range 8 {
				if d := b.Next(); d < least || d > window || d != same.Next() {
					t.Fatalf("delay %v, want from %v to %v", d, least, window)
				}
				window = min(2*window, max(most, span, least))
			}
			b.Reset()
			same.Reset()
		}
	})
}

// queue is a server that works through calls in turn, also through those whose caller has gone.
type queue struct {
	work    time.Duration // for one call
	free    time.Duration // when it has done what it took
	timeout time.Duration // a caller waits so long
	most    time.Duration // it turns away what would take longer
}

// call tells whether a call at a time is answered in time, and when its caller knows.
func (q *queue) call(now time.Duration) (bool, time.Duration) {
	q.free = max(q.free, now)
	if q.free+q.work-now > q.most {
		return false, now
	}
	q.free += q.work
	if q.free-now > q.timeout {
		return false, now + q.timeout
	}
	return true, q.free
}

// herd has callers call at once at 0 and again until each was answered, and gives how many were in a minute, and their calls.
func herd(callers int, q *queue, delay func(caller int) func() time.Duration) (answered, calls int) {
	next := make([]time.Duration, callers)
	again := make([]func() time.Duration, callers)
	for i := range next {
		again[i] = delay(i)
	}
	for {
		who := -1
		for i, at := range next {
			if at >= 0 && at < time.Minute && (who < 0 || at < next[who]) {
				who = i
			}
		}
		if who < 0 {
			return answered, calls
		}
		calls++
		ok, known := q.call(next[who])
		if next[who] = known + again[who](); ok {
			next[who] = -1
			answered++
		}
	}
}

// Eighty callers that come at once to a server for ten calls a second are all served; by the rule that relays had before,
// without chance and without regard for their number, the server is at work for a minute on calls that were given up.
func TestHerd(t *testing.T) {
	server := func() *queue {
		return &queue{work: 100 * time.Millisecond, timeout: 2 * time.Second, most: 6 * time.Second}
	}
	answered, calls := herd(80, server(), func(i int) func() time.Duration {
		return New(250*time.Millisecond, 8*time.Second, 32*time.Second, int64(i)).Next
	})
	if answered != 80 || calls > 3*80 {
		t.Errorf("%d of 80 answered in %d calls", answered, calls)
	}
	answered, _ = herd(80, server(), func(int) func() time.Duration {
		last := time.Duration(0)
		return func() time.Duration {
			last = min(2*time.Second, 2*last+250*time.Millisecond)
			return last
		}
	})
	if answered > 40 {
		t.Errorf("%d answered without chance: the test does not cause the failure it is about", answered)
	}
}

// The usual forms against servers that take 5, 10 and 40 calls a second, eighty callers at once: what is in the table of
// docs/design/fleet.md, by go test -run TestForms -v. Only forms that are scaled by the callers get them served where the server
// is slow; among these the form matters little, but that none may be without chance.
func TestForms(t *testing.T) {
	const callers = 80
	least, most, span := 250*time.Millisecond, 2*time.Second, callers*100*time.Millisecond
	draw := func(i int) *rand.Rand { return rand.New(rand.NewPCG(uint64(i), 7)) }
	doubled := func(base, top time.Duration, part func(r *rand.Rand, window time.Duration) time.Duration) func(int) func() time.Duration {
		return func(i int) func() time.Duration {
			r, window := draw(i), base/2
			return func() time.Duration {
				window = min(2*window, top)
				return part(r, window)
			}
		}
	}
	fixed := func(_ *rand.Rand, w time.Duration) time.Duration { return w }
	equal := func(r *rand.Rand, w time.Duration) time.Duration {
		return w/2 + time.Duration(r.Float64()*float64(w/2))
	}
	full := func(r *rand.Rand, w time.Duration) time.Duration { return time.Duration(r.Float64() * float64(w)) }
	decorrelated := func(base, top time.Duration) func(int) func() time.Duration {
		return func(i int) func() time.Duration {
			r, last := draw(i), base
			return func() time.Duration {
				last = min(top, base+time.Duration(r.Float64()*float64(3*last-base)))
				return last
			}
		}
	}
	served := map[string]int{}
	for _, form := range []struct {
		name  string
		delay func(int) func() time.Duration
	}{
		{"doubled, no chance", doubled(least, most, fixed)},
		{"equal jitter", doubled(least, most, equal)},
		{"full jitter", doubled(least, most, full)},
		{"decorrelated jitter", decorrelated(least, most)},
		{"doubled, no chance, scaled", doubled(span, 4*span, fixed)},
		{"equal jitter, scaled", doubled(span, 4*span, equal)},
		{"decorrelated jitter, scaled", decorrelated(span/2, 4*span)},
		{"full jitter, scaled: ours", func(i int) func() time.Duration { return New(least, span, 4*span, int64(i)).Next }},
	} {
		for _, rate := range []int{5, 10, 40} {
			q := &queue{work: time.Second / time.Duration(rate), timeout: 2 * time.Second, most: 6 * time.Second}
			answered, calls := herd(callers, q, form.delay)
			served[fmt.Sprint(form.name, rate)] = answered
			t.Logf("%-28s %2d a second: %2d of %d answered within a minute, %3d calls", form.name, rate, answered, callers, calls)
		}
	}
	if got := served["full jitter, scaled: ours5"]; got < 76 {
		t.Errorf("ours: %d of %d answered at 5 a second", got, callers)
	}
	if got := served["full jitter5"]; got > 60 {
		t.Errorf("full jitter that is not scaled: %d answered, the need for scaling does not show", got)
	}
}
