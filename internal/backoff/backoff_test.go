package backoff

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Every delay lies in its window, windows double up to the limit, and Reset returns to the initial window. The same seed draws the same
// delays.
func TestBackoff_DelaysLieInDoublingWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, 60_000).Draw(t, name)) * time.Millisecond
		}
		minDelay, initial, limit, seed := duration("min"), duration("initial"), duration("max"), rapid.Int64().Draw(t, "seed")
		b, same := New(minDelay, initial, limit, seed), New(minDelay, initial, limit, seed)
		if d := b.Start(); d < 0 || d > max(initial, minDelay) || d != same.Start() {
			t.Fatalf("start delay %v is out of range or differs for the same seed", d)
		}
		for range rapid.IntRange(1, 3).Draw(t, "rounds") {
			window := max(initial, minDelay)
			for range 8 {
				if d := b.Next(); d < minDelay || d > window || d != same.Next() {
					t.Fatalf("delay %v, want from %v to %v and the same for the same seed", d, minDelay, window)
				}
				window = min(2*window, max(limit, initial, minDelay))
			}
			b.Reset()
			same.Reset()
		}
	})
}

const (
	callers  = 80          // the number of callers of one server; all start at time 0, and each calls until it is served
	observed = time.Minute // the simulated time; no call is made later
)

// server serves one request at a time, including requests whose callers have already timed out.
type server struct {
	serviceTime time.Duration
	idleAt      time.Duration // when all accepted requests will have been served
	timeout     time.Duration // how long a caller waits for a response
	maxWait     time.Duration // requests that would be served later than this are rejected
}

// newServer returns a server that serves rate requests per second.
func newServer(rate int) *server {
	return &server{serviceTime: time.Second / time.Duration(rate), timeout: 2 * time.Second, maxWait: 6 * time.Second}
}

// call submits a request at time now. It returns whether the request is served before its caller times out, and the time at which the
// caller is served, times out or is rejected.
func (s *server) call(now time.Duration) (served bool, knownAt time.Duration) {
	s.idleAt = max(s.idleAt, now)
	if s.idleAt+s.serviceTime-now > s.maxWait {
		return false, now
	}
	s.idleAt += s.serviceTime
	if s.idleAt-now > s.timeout {
		return false, now + s.timeout
	}
	return true, s.idleAt
}

// delays returns the function that draws the successive delays of a caller.
type delays func(caller int) (next func() time.Duration)

// simulateHerd has all callers call at time 0 and retry after their delays until they are served. It returns how many callers were served,
// and the total number of calls.
func simulateHerd(s *server, newDelays delays) (served, calls int) {
	due := make([]time.Duration, callers) // the time of each caller's next call; -1 if it was served
	next := make([]func() time.Duration, callers)
	for i := range due {
		next[i] = newDelays(i)
	}
	for {
		first := -1
		for i, at := range due {
			if at >= 0 && at < observed && (first < 0 || at < due[first]) {
				first = i
			}
		}
		if first < 0 {
			return served, calls
		}
		calls++
		ok, knownAt := s.call(due[first])
		if due[first] = knownAt + next[first](); ok {
			due[first] = -1
			served++
		}
	}
}

// All callers that start at the same time are served by a server that serves ten requests per second. With the delays that relays used
// before, which had no jitter and were not scaled by the number of callers, the server is busy for the whole minute, mostly with requests
// whose callers have already timed out.
func TestBackoff_HerdIsServed(t *testing.T) {
	served, calls := simulateHerd(newServer(10), func(caller int) func() time.Duration {
		return New(250*time.Millisecond, 8*time.Second, 32*time.Second, int64(caller)).Next
	})
	if served != callers || calls > 3*callers {
		t.Errorf("%d of %d callers served in %d calls, want all in at most 3 calls per caller", served, callers, calls)
	}
	served, _ = simulateHerd(newServer(10), func(int) func() time.Duration {
		last := time.Duration(0)
		return func() time.Duration {
			last = min(2*time.Second, 2*last+250*time.Millisecond)
			return last
		}
	})
	if served > 40 {
		t.Errorf("%d callers served without jitter: the test does not reproduce the failure that it guards against", served)
	}
}

// The backoff algorithms that are compared. Most draw a delay from a window that doubles; decorrelated jitter derives the range of each
// delay from the previous delay.

func randomOf(caller int) *rand.Rand { return rand.New(rand.NewPCG(uint64(caller), 7)) }

func doubling(initial, limit time.Duration, draw func(r *rand.Rand, window time.Duration) time.Duration) delays {
	return func(caller int) func() time.Duration {
		r, window := randomOf(caller), initial/2
		return func() time.Duration {
			window = min(2*window, limit)
			return draw(r, window)
		}
	}
}

func noJitter(_ *rand.Rand, window time.Duration) time.Duration { return window }

func equalJitter(r *rand.Rand, window time.Duration) time.Duration {
	return window/2 + time.Duration(r.Float64()*float64(window/2))
}

func fullJitter(r *rand.Rand, window time.Duration) time.Duration {
	return time.Duration(r.Float64() * float64(window))
}

func decorrelatedJitter(initial, limit time.Duration) delays {
	return func(caller int) func() time.Duration {
		r, last := randomOf(caller), initial
		return func() time.Duration {
			last = min(limit, initial+time.Duration(r.Float64()*float64(3*last-initial)))
			return last
		}
	}
}

// Compares the usual backoff algorithms against servers that serve 5, 10 and 40 requests per second. go test -run TestForms -v prints the
// figures of the table in docs/design/fleet.md. A slow server serves all callers only with algorithms that are scaled by the number of
// callers; these algorithms differ little from one another, as long as they have jitter.
func TestForms_OnlyScaledOnesAreServed(t *testing.T) {
	const (
		minDelay, limit = 250 * time.Millisecond, 2 * time.Second
		scaled          = callers * 100 * time.Millisecond
		ours            = "full jitter, scaled: ours"
	)
	served := map[string]int{}
	for _, form := range []struct {
		name   string
		delays delays
	}{
		{"doubled, no jitter", doubling(minDelay, limit, noJitter)},
		{"equal jitter", doubling(minDelay, limit, equalJitter)},
		{"full jitter", doubling(minDelay, limit, fullJitter)},
		{"decorrelated jitter", decorrelatedJitter(minDelay, limit)},
		{"doubled, no jitter, scaled", doubling(scaled, 4*scaled, noJitter)},
		{"equal jitter, scaled", doubling(scaled, 4*scaled, equalJitter)},
		{"decorrelated jitter, scaled", decorrelatedJitter(scaled/2, 4*scaled)},
		{ours, func(caller int) func() time.Duration { return New(minDelay, scaled, 4*scaled, int64(caller)).Next }},
	} {
		for _, rate := range []int{5, 10, 40} {
			n, calls := simulateHerd(newServer(rate), form.delays)
			served[fmt.Sprint(form.name, " at ", rate)] = n
			t.Logf("%-28s %2d a second: %2d of %d served within a minute, %3d calls", form.name, rate, n, callers, calls)
		}
	}
	if got := served[ours+" at 5"]; got < 76 {
		t.Errorf("ours: %d of %d callers served at 5 requests per second", got, callers)
	}
	if got := served["full jitter at 5"]; got > 60 {
		t.Errorf("full jitter, not scaled: %d callers served, so the test does not show that scaling is needed", got)
	}
}
