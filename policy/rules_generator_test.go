package policy_test

import (
	"fmt"
	"math/rand"
	"sort"
	"time"

	"frostlink/policy"
)

// randomSettings returns random settings.
func randomSettings(r *rand.Rand) policy.Settings {
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

// generator generates random valid events. It does not model destinations.
type generator struct {
	random       *rand.Rand
	settings     policy.Settings
	checker      *checker // tracks the messages and endpoints
	now          time.Duration
	next         int // number of the next endpoint or message
	timers       []time.Duration
	endpoints    []policy.Endpoint
	usualOutcome []policy.Outcome          // current outcome of most attempts, by destination
	callOutcome  map[string]policy.Outcome // by endpoint and start time of the call
	redeliveries *rand.Rand                // draws background messages; nil: there are none
}

// redeliveriesPerBatch is the number of background messages in each batch of events. Few are sent, because few endpoints are healthy.
const redeliveriesPerBatch = 4

// redelivery returns the arrival of a random background message, with attempts under other IDs.
func (g *generator) redelivery() policy.Arrived {
	r := g.redeliveries
	g.next++
	e := policy.Arrived{
		ID: fmt.Sprint("again", g.next), Class: r.Intn(len(g.settings.Classes)), Destination: r.Intn(5), Background: true,
		TimeLeft: time.Second + time.Duration(r.Intn(10000))*time.Millisecond,
	}
	if g.settings.Classes[e.Class].Ordered && r.Intn(5) > 0 {
		e.OrderKey = fmt.Sprint("k", r.Intn(3))
	}
	for range r.Intn(3) {
		attempt := policy.PriorAttempt{
			Endpoint: fmt.Sprint("e", r.Intn(12)), SentAt: g.now - time.Duration(r.Intn(5000))*time.Millisecond, NotExecuted: r.Intn(3) == 0,
		}
		e.EarlierAttempts = append(e.EarlierAttempts, attempt)
	}
	sort.Slice(e.EarlierAttempts, func(i, j int) bool { return e.EarlierAttempts[i].SentAt < e.EarlierAttempts[j].SentAt })
	return e
}

// endpointsChanged returns a random change of the endpoint list.
func (g *generator) endpointsChanged() policy.EndpointsChanged {
	full := g.random.Intn(3) == 0 || len(g.endpoints) == 0
	if len(g.endpoints) == 0 || g.random.Intn(3) == 0 {
		destination := g.random.Intn(4)
		g.endpoints = append(g.endpoints, policy.Endpoint{
			ID: fmt.Sprint("e", g.next), Destination: destination, Kind: destination % 3,
			Zone: g.random.Intn(2), Weight: 2 + float64(destination)*3,
		})
		g.next++
	}
	var changed []policy.Endpoint
	for i := range g.endpoints {
		if g.random.Intn(12) == 0 {
			g.endpoints[i].Draining = true
		}
		if g.random.Intn(15) == 0 && len(g.endpoints) > 4 {
			g.endpoints[i].Removed = true
		}
		if !full || !g.endpoints[i].Removed {
			changed = append(changed, g.endpoints[i])
		}
	}
	remaining := g.endpoints[:0]
	for _, e := range g.endpoints {
		if !e.Removed {
			remaining = append(remaining, e)
		}
	}
	g.endpoints = remaining
	return policy.EndpointsChanged{Full: full, Endpoints: changed}
}

// batch advances the time to the next point at which something is due, and returns the events of
// that time.
func (g *generator) batch() []policy.Event {
	at := g.now + time.Duration(1+g.random.Intn(60))*5*time.Millisecond
	for _, t := range g.timers {
		at = min(at, t)
	}
	for _, m := range g.checker.order {
		if !m.completed && m.deadline > g.now {
			at = min(at, m.deadline)
		}
		for _, t := range m.attempts {
			if t.open && t.timeout > 0 && t.sent+t.timeout > g.now {
				at = min(at, t.sent+t.timeout)
			}
		}
	}
	g.now = max(at, g.now+5*time.Millisecond)
	var events []policy.Event
	remaining := g.timers[:0]
	for _, t := range g.timers {
		if t <= g.now {
			events = append(events, policy.TimerFired{})
		} else {
			remaining = append(remaining, t)
		}
	}
	g.timers = remaining
	events = append(events, g.outcomes()...)
	if g.random.Intn(12) == 0 {
		events = append(events, g.endpointsChanged())
	}
	if g.random.Intn(40) == 0 {
		events = append(events, policy.WatchFailed{})
	}
	for range g.random.Intn(4) {
		g.next++
		class := g.random.Intn(len(g.settings.Classes))
		e := policy.Arrived{
			ID: fmt.Sprint("m", g.next), Class: class, Destination: g.random.Intn(5),
			TimeLeft: g.settings.Classes[class].Deadline - time.Duration(g.random.Intn(2000))*time.Millisecond,
		}
		if g.settings.Classes[class].Ordered && g.random.Intn(5) > 0 {
			e.OrderKey = fmt.Sprint("k", g.random.Intn(3))
		}
		events = append(events, e)
	}
	for range redeliveriesPerBatch {
		if g.redeliveries != nil {
			events = append(events, g.redelivery())
		}
	}
	return events
}

// outcomes returns the outcomes of attempts whose timeout or deadline has passed, and of others at
// random.
func (g *generator) outcomes() []policy.Event {
	var events []policy.Event
	for d := range g.usualOutcome {
		if g.random.Intn(80) == 0 {
			g.usualOutcome[d] = policy.Outcome(g.random.Intn(8))
		}
	}
	for _, m := range g.checker.order {
		for i, t := range m.attempts {
			if !t.open {
				continue
			}
			limit := m.deadline
			if t.timeout > 0 {
				limit = min(limit, t.sent+t.timeout)
			}
			e := policy.AttemptEnded{ID: m.ID, Endpoint: t.endpoint, Attempt: i, Latency: g.now - t.sent, Final: m.completed}
			switch {
			case g.now >= limit:
				e.Outcome = policy.TimedOut
			case g.random.Intn(6) == 0:
				e.Outcome = g.usualOutcome[g.checker.endpoints[t.endpoint].Destination]
				if g.random.Intn(4) == 0 {
					e.Outcome = policy.Outcome(g.random.Intn(8))
				}
				call := fmt.Sprint(t.endpoint, t.sent) // the messages of one call share its outcome
				if outcome, ok := g.callOutcome[call]; ok {
					e.Outcome = outcome
				}
				if e.Outcome == policy.TimedOut {
					continue
				}
				g.callOutcome[call] = e.Outcome
			default:
				continue
			}
			if e.Outcome == policy.Rejected && g.random.Intn(2) == 0 {
				e.RetryAfter = time.Duration(g.random.Intn(2000)) * time.Millisecond
			}
			e.Final = e.Final || e.Outcome == policy.Succeeded
			events = append(events, e)
			if g.random.Intn(30) == 0 {
				events = append(events, e) // a duplicate changes nothing
			}
		}
		if !m.completed && g.random.Intn(400) == 0 {
			events = append(events, policy.MessageCanceled{ID: m.ID})
		}
	}
	return events
}
