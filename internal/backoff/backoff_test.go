package backoff

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Every delay lies in its window, windows double up to the limit, and a success begins anew; the same seed draws the same delays.
func TestBackoff_DelaysLieInDoublingWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, 60_000).Draw(t, name)) * time.Millisecond
		}
		minDelay, initial, limit, seed := duration("min"), duration("initial"), duration("max"), rapid.Int64().Draw(t, "seed")
		b, same := New(minDelay, initial, limit, seed), New(minDelay, initial, limit, seed)
		if d := b.Start(); d < 0 || d > max(initial, minDelay) || d != same.Start() {
			t.Fatalf("start %v", d)
		}
		for range rapid.IntRange(1, 3).Draw(t, "rounds") {
			window := max(initial, minDelay)
			for range 8 {
				if d := b.Next(); d < minDelay || d > window || d != same.Next() {
					t.Fatalf("delay %v, want from %v to %v", d, minDelay, window)
				}
				window = min(2*window, max(limit, initial, minDelay))
			}
			b.Reset()
			same.Reset()
		}
	})
}

const (
	// callers call one server for observed, from time 0 on, until each is served.
	callers  = 80
	observed = time.Minute
)

// server serves one request after the other, also those whose caller has given up.
type server struct {
	serviceTime time.Duration
	idleAt      time.Duration // when all that it has accepted is done
	timeout     time.Duration // a caller waits so long
	maxWait     time.Duration // it rejects a request that would take longer
}

// newServer returns a server for a number of requests a second.
func newServer(rate int) *server {
	return &server{serviceTime: time.Second / time.Duration(rate), timeout: 2 * time.Second, maxWait: 6 * time.Second}
}

// call reports whether a request at a time is served before its caller gives up, and when its caller knows.
func (s *server) call(now time.Duration) (served bool, known time.Duration) {
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

// delays makes the delays of a caller.
type delays func(caller int) (next func() time.Duration)

// simulateHerd has all callers call at 0, and again after their delays until they are served. It returns how many were served, and in how
// many calls.
func simulateHerd(s *server, newDelays delays) (served, calls int) {
	due := make([]time.Duration, callers) // -1: served
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
		ok, known := s.call(due[first])
		if due[first] = known + next[first](); ok {
			due[first] = -1
			served++
		}
	}
}

// All callers that come at once to a server for ten requests a second are served. By the rule that relays had before, without jitter and
// without regard for the number of callers, the server is busy for a minute with requests whose callers have given up.
func TestBackoff_HerdIsServed(t *testing.T) {
	served, calls := simulateHerd(newServer(10), func(caller int) func() time.Duration {
		return New(250*time.Millisecond, 8*time.Second, 32*time.Second, int64(caller)).Next
	})
	if served != callers || calls > 3*callers {
		t.Errorf("%d of %d served in %d calls", served, callers, calls)
	}
	served, _ = simulateHerd(newServer(10), func(int) func() time.Duration {
		last := time.Duration(0)
		return func() time.Duration {
			last = min(2*time.Second, 2*last+250*time.Millisecond)
			return last
		}
	})
	if served > 40 {
		t.Errorf("%d served without jitter: the test does not cause the failure that it is about", served)
	}
}

// The forms of backoff that are compared. Those of doubling windows draw a part of each window; decorrelated jitter draws from the last
// delay.

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

// The usual forms against servers for 5, 10 and 40 requests a second: what is in the table of docs/design/fleet.md, by
// go test -run TestForms -v. Only forms that are scaled by the number of callers get them served where the server is slow; among these
// the form matters little, but that none may be without jitter.
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
		t.Errorf("ours: %d of %d served at 5 a second", got, callers)
	}
	if got := served["full jitter at 5"]; got > 60 {
		t.Errorf("full jitter that is not scaled: %d served, the need for scaling does not show", got)
	}
}
