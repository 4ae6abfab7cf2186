package policy_test

import (
	"fmt"
	"math/rand"
	"time"

	"frostlink/policy"
)

// variant draws settings from a seed.
func variant(r *rand.Rand) policy.Settings {
	s := policy.Settings{
		Instances: []int{1, 2, 3, 4, 40, 400}[r.Intn(6)], MaxInFlight: 1 + r.Intn(12), MaxQueued: 20 + r.Intn(80), MaxAttempts: 2 + r.Intn(10),
		Hedging: r.Intn(2) == 0, CanCancel: r.Intn(4) > 0, WatchEndpoints: r.Intn(2) == 0,
		Weights: policy.Weights(r.Intn(3)), BatchInterval: 5 * time.Millisecond,
		MaxRetryAfter: 3 * time.Second, ColdCapacity: 0.14 + 0.2*r.Float64(), SlowStartTime: 9 * time.Second,
		OverloadFactor: 2 + r.Float64(), OverloadWindow: 2 * time.Second, ZoneCost: []float64{0.06, 0},
		OrderKeyCooldown: time.Duration(r.Intn(3)) * 200 * time.Millisecond,
		Kinds:            []policy.DestinationKind{{MaxBatch: 1}, {MaxBatch: 5}, {MaxBatch: 1 + r.Intn(8), SeparateRoutes: true}},
	}
	for i := range 4 {
		s.Classes = append(s.Classes, policy.Class{
			LatencyObjective: time.Second, Deadline: time.Duration(3+r.Intn(15)) * time.Second,
			PriorityWeight: 1 + float64(r.Intn(4)), LateFraction: 0.5, Idempotency: policy.Idempotency(i % 3), KeyPerZone: r.Intn(2) == 0,
			KeyTTL: 4 * time.Second, Ordered: i == 2 || i == 3 && r.Intn(2) == 0,
		})
	}
	return s
}

// world draws legal events from a seed; it knows nothing of servers.
type world struct {
	r     *rand.Rand
	s     policy.Settings
	c     *checker
	now   time.Duration
	next  int
	wakes []time.Duration
	eps   []policy.Endpoint
	mood  []policy.Outcome // what the attempts of a destination mostly get just now
	fates map[string]policy.Outcome
}

func (w *world) list() policy.EndpointsChanged {
	whole := w.r.Intn(3) == 0 || len(w.eps) == 0
	if len(w.eps) == 0 || w.r.Intn(3) == 0 {
		dest := w.r.Intn(4)
		w.eps = append(w.eps, policy.Endpoint{
			ID: fmt.Sprint("e", w.next), Destination: dest, Kind: dest % 3,
			Zone: w.r.Intn(2), Weight: 2 + float64(dest)*3,
		})
		w.next++
	}
	var out []policy.Endpoint
	for i := range w.eps {
		if w.r.Intn(12) == 0 {
			w.eps[i].Draining = true
		}
		if w.r.Intn(15) == 0 && len(w.eps) > 4 {
			w.eps[i].Removed = true
		}
		if !whole || !w.eps[i].Removed {
			out = append(out, w.eps[i])
		}
	}
	kept := w.eps[:0]
	for _, e := range w.eps {
		if !e.Removed {
			kept = append(kept, e)
		}
	}
	w.eps = kept
	return policy.EndpointsChanged{Full: whole, Endpoints: out}
}

// batch moves the clock to the next moment and gives its events.
func (w *world) batch() []policy.Event {
	at := w.now + time.Duration(1+w.r.Intn(60))*5*time.Millisecond
	for _, t := range w.wakes {
		at = min(at, t)
	}
	for _, m := range w.c.order {
		if !m.over && m.expires > w.now {
			at = min(at, m.expires)
		}
		for _, t := range m.tries {
			if t.open && t.timeout > 0 && t.sent+t.timeout > w.now {
				at = min(at, t.sent+t.timeout)
			}
		}
	}
	w.now = max(at, w.now+5*time.Millisecond)
	var events []policy.Event
	kept := w.wakes[:0]
	for _, t := range w.wakes {
		if t <= w.now {
			events = append(events, policy.TimerFired{})
		} else {
			kept = append(kept, t)
		}
	}
	w.wakes = kept
	events = append(events, w.outcomes()...)
	if w.r.Intn(12) == 0 {
		events = append(events, w.list())
	}
	if w.r.Intn(40) == 0 {
		events = append(events, policy.WatchFailed{})
	}
	for range w.r.Intn(4) {
		w.next++
		class := w.r.Intn(len(w.s.Classes))
		e := policy.Arrived{
			ID: fmt.Sprint("m", w.next), Class: class, Destination: w.r.Intn(5),
			TimeLeft: w.s.Classes[class].Deadline - time.Duration(w.r.Intn(2000))*time.Millisecond,
		}
		if w.s.Classes[class].Ordered && w.r.Intn(5) > 0 {
			e.OrderKey = fmt.Sprint("k", w.r.Intn(3))
		}
		events = append(events, e)
	}
	return events
}

// outcomes ends attempts: those whose time is up, and others by chance.
func (w *world) outcomes() []policy.Event {
	var events []policy.Event
	for d := range w.mood {
		if w.r.Intn(80) == 0 {
			w.mood[d] = policy.Outcome(w.r.Intn(8))
		}
	}
	for _, m := range w.c.order {
		for i, t := range m.tries {
			if !t.open {
				continue
			}
			limit := m.expires
			if t.timeout > 0 {
				limit = min(limit, t.sent+t.timeout)
			}
			e := policy.AttemptEnded{ID: m.ID, Endpoint: t.ep, Attempt: i, Latency: w.now - t.sent, Final: m.over}
			switch {
			case w.now >= limit:
				e.Outcome = policy.TimedOut
			case w.r.Intn(6) == 0:
				e.Outcome = w.mood[w.c.eps[t.ep].Destination]
				if w.r.Intn(4) == 0 {
					e.Outcome = policy.Outcome(w.r.Intn(8))
				}
				call := fmt.Sprint(t.ep, t.sent) // the messages of one call share its fate
				if fate, ok := w.fates[call]; ok {
					e.Outcome = fate
				}
				if e.Outcome == policy.TimedOut {
					continue
				}
				w.fates[call] = e.Outcome
			default:
				continue
			}
			if e.Outcome == policy.Rejected && w.r.Intn(2) == 0 {
				e.RetryAfter = time.Duration(w.r.Intn(2000)) * time.Millisecond
			}
			e.Final = e.Final || e.Outcome == policy.Succeeded
			events = append(events, e)
			if w.r.Intn(30) == 0 {
				events = append(events, e) // doubled up: changes nothing
			}
		}
		if !m.over && w.r.Intn(400) == 0 {
			events = append(events, policy.Cancelled{ID: m.ID})
		}
	}
	return events
}
