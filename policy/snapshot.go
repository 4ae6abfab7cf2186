package policy

import (
	"slices"
	"time"
)

// Snapshot is what a dispatcher has learned of its destinations. Times are its clock's, which the two processes share.
type Snapshot struct {
	Queues       []QueueSnapshot         `json:"queues"`
	Endpoints    []EndpointSnapshot      `json:"endpoints"`
	Kinds        map[int]LatencySnapshot `json:"kinds,omitempty"`
	Unanswered   float64                 `json:"unanswered,omitempty"`
	KeyCooldowns []KeyCooldownSnapshot   `json:"rests,omitempty"`
}

// KeyCooldownSnapshot is a key that rests after a message that is over.
type KeyCooldownSnapshot struct {
	Key   string        `json:"key"`
	Until time.Duration `json:"until"`
}

// LatencySnapshot are mean latencies in seconds.
type LatencySnapshot struct {
	N     int       `json:"n,omitempty"`
	Mean  float64   `json:"mean,omitempty"`
	Class []float64 `json:"class,omitempty"`
}

// CounterSnapshot is a count that fades.
type CounterSnapshot struct {
	N     float64       `json:"n,omitempty"`
	At    time.Duration `json:"at,omitempty"`
	Since time.Duration `json:"since,omitempty"`
}

// QueueSnapshot is what is known of a destination, or of one route of it, which an endpoint names then.
type QueueSnapshot struct {
	Destination    int             `json:"destination"`
	Route          string          `json:"route,omitempty"`
	Latency        LatencySnapshot `json:"latency"`
	WaitUntil      time.Duration   `json:"wait_until,omitempty"`
	HoldUntil      time.Duration   `json:"hold_until,omitempty"`
	ConnHoldUntil  time.Duration   `json:"door_until,omitempty"`
	PausedAt       time.Duration   `json:"paused_at,omitempty"`
	LimitAt        time.Duration   `json:"limit_at,omitempty"`
	Rejections     int             `json:"fulls,omitempty"`
	FirstRejection time.Duration   `json:"first_full,omitempty"`
	LastOK         time.Duration   `json:"last_ok,omitempty"`
	Failures       float64         `json:"failures,omitempty"`
	Weight         float64         `json:"weight,omitempty"`
	Limit          float64         `json:"limit,omitempty"`
	SendRate       float64         `json:"pace,omitempty"`
	Tokens         float64         `json:"tokens,omitempty"`
	TokensAt       time.Duration   `json:"tokens_at,omitempty"`
	Arrivals       CounterSnapshot `json:"arrivals"`
	Misses         CounterSnapshot `json:"misses"`
	ShadowWork     float64         `json:"copy_work,omitempty"`
	ShadowAt       time.Duration   `json:"copy_at,omitempty"`
	Unhealthy      bool            `json:"ill,omitempty"`
}

// EndpointSnapshot is what is known of a listed endpoint.
type EndpointSnapshot struct {
	ID             string        `json:"id"`
	Failures       float64       `json:"failures,omitempty"`
	ClassFailures  []float64     `json:"strikes,omitempty"`
	Unhealthy      bool          `json:"sick,omitempty"`
	UnhealthySince time.Duration `json:"sick_at,omitempty"`
	Recovered      time.Duration `json:"recovered,omitempty"`
	SlowStart      bool          `json:"ramping,omitempty"`
	Tokens         float64       `json:"tokens,omitempty"`
	TokensAt       time.Duration `json:"tokens_at,omitempty"`
	LastOK         time.Duration `json:"last_ok,omitempty"`
	LastUsed       time.Duration `json:"last_used,omitempty"`
	LastBegun      time.Duration `json:"last_begun,omitempty"`
	LastLatency    float64       `json:"last_took,omitempty"`
	ConnLimit      float64       `json:"conn_cap,omitempty"`
}

// Snapshot gives what this dispatcher has learned.
func (d *Dispatcher) Snapshot() *Snapshot {
	mem := &Snapshot{Kinds: map[int]LatencySnapshot{}, Unanswered: d.unanswered}
	for _, m := range d.resting {
		if m.class.Ordered && m.OrderKey != "" {
			mem.KeyCooldowns = append(mem.KeyCooldowns, KeyCooldownSnapshot{m.OrderKey, m.rest})
		}
	}
	for _, no := range sortedKeys(d.dests) {
		for _, q := range d.dests[no].queues {
			m := QueueSnapshot{
				Destination: no, Latency: q.latencies.memory(), WaitUntil: q.waitUntil, HoldUntil: q.holdUntil, ConnHoldUntil: q.doorUntil,
				PausedAt: q.pausedAt, LimitAt: q.limitAt, Limit: q.limit, Rejections: q.fulls, FirstRejection: q.firstFull, LastOK: q.lastOK, Failures: q.failures,
				Weight: q.weight, SendRate: q.pace, Tokens: q.tokens,
				TokensAt: q.tokensAt, Arrivals: q.arrivals.memory(), Misses: q.misses.memory(), ShadowWork: q.copyWork,
				ShadowAt: q.copyAt, Unhealthy: q.ill,
			}
			if q.apart && len(q.eps) > 0 {
				m.Route = q.eps[0].ID
			}
			mem.Queues = append(mem.Queues, m)
		}
	}
	for _, id := range sortedKeys(d.endpoints) {
		ep := d.endpoints[id]
		mem.Endpoints = append(mem.Endpoints, EndpointSnapshot{
			ID: id, Failures: ep.failures, ClassFailures: slices.Clone(ep.strikes),
			Unhealthy: ep.sick, UnhealthySince: ep.sickAt, Recovered: ep.recovered, SlowStart: ep.ramping, Tokens: ep.tokens,
			TokensAt: ep.tokensAt, LastOK: ep.lastOK, LastUsed: ep.lastUsed, LastBegun: ep.lastBegun, LastLatency: ep.lastTook,
			ConnLimit: ep.connCap,
		})
	}
	for kind, p := range d.pools {
		mem.Kinds[kind] = p.memory()
	}
	return mem
}

// inherit takes over what the process before had learned; the list comes before it. What it names and the list does not
// have any more is left out, but for a destination's waits: they hold for whatever endpoint comes next.
func (d *Dispatcher) inherit(mem *Snapshot) {
	d.unanswered = mem.Unanswered
	for _, r := range mem.KeyCooldowns {
		m := &message{Arrived: Arrived{OrderKey: r.Key}, over: true, rest: r.Until}
		d.keys[r.Key] = append(d.keys[r.Key], m)
		d.resting = append(d.resting, m)
	}
	for kind, m := range mem.Kinds {
		d.pool(kind).recall(m)
	}
	for _, m := range mem.Queues {
		q := d.dest(m.Destination).queues[0]
		if m.Route != "" {
			ep := d.endpoints[m.Route]
			if ep == nil {
				continue
			}
			q = ep.q
		}
		q.latencies.recall(m.Latency)
		q.waitUntil, q.holdUntil, q.doorUntil = m.WaitUntil, m.HoldUntil, m.ConnHoldUntil
		q.pausedAt, q.limitAt, q.lastOK, q.failures = m.PausedAt, m.LimitAt, m.LastOK, m.Failures
		q.fulls, q.firstFull, q.limit = m.Rejections, m.FirstRejection, m.Limit
		if q.weight == m.Weight { // else the list has told another rate since, and the pace began anew
			q.pace, q.tokens, q.tokensAt = m.SendRate, m.Tokens, m.TokensAt
		}
		q.arrivals, q.misses = m.Arrivals.aged(), m.Misses.aged()
		q.copyWork, q.copyAt, q.ill = m.ShadowWork, m.ShadowAt, m.Unhealthy
	}
	for _, m := range mem.Endpoints {
		ep := d.endpoints[m.ID]
		if ep == nil {
			continue
		}
		if m.Unhealthy != ep.sick {
			d.down += map[bool]int{true: 1, false: -1}[m.Unhealthy]
		}
		ep.failures, ep.sick, ep.sickAt, ep.recovered, ep.ramping = m.Failures, m.Unhealthy, m.UnhealthySince, m.Recovered, m.SlowStart
		copy(ep.strikes, m.ClassFailures)
		ep.tokens, ep.tokensAt, ep.lastOK, ep.lastUsed = m.Tokens, m.TokensAt, m.LastOK, m.LastUsed
		ep.lastBegun, ep.lastTook, ep.connCap = m.LastBegun, m.LastLatency, m.ConnLimit
	}
}

func (l *latencies) memory() LatencySnapshot {
	return LatencySnapshot{l.n, l.mean, slices.Clone(l.class)}
}

// recall takes latencies over; classes are matched by number, which both processes share.
func (l *latencies) recall(m LatencySnapshot) {
	l.n, l.mean = m.N, m.Mean
	copy(l.class, m.Class)
}

func (a *aged) memory() CounterSnapshot { return CounterSnapshot{a.n, a.at, a.since} }

func (m CounterSnapshot) aged() aged { return aged{m.N, m.At, m.Since} }

// sortedKeys are a map's keys in order: what is carried over is the same each time.
func sortedKeys[K int | string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
