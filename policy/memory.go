package policy

import (
	"slices"
	"time"
)

// This file carries what a dispatcher has learned from one process of a relay to the next that takes its place. It decides
// nothing: what is carried is the state that policy.go keeps.

// Memory is what a dispatcher has learned of its destinations. Times are its clock's, which the two processes share.
type Memory struct {
	Queues     []QueueMemory         `json:"queues"`
	Endpoints  []EndpointMemory      `json:"endpoints"`
	Kinds      map[int]LatencyMemory `json:"kinds,omitempty"`
	Unanswered float64               `json:"unanswered,omitempty"`
	Rests      []RestMemory          `json:"rests,omitempty"`
}

// RestMemory is a key that rests after a message that is over.
type RestMemory struct {
	Key   string        `json:"key"`
	Until time.Duration `json:"until"`
}

// LatencyMemory are mean latencies in seconds.
type LatencyMemory struct {
	N     int       `json:"n,omitempty"`
	Mean  float64   `json:"mean,omitempty"`
	Class []float64 `json:"class,omitempty"`
}

// CountMemory is a count that fades.
type CountMemory struct {
	N     float64       `json:"n,omitempty"`
	At    time.Duration `json:"at,omitempty"`
	Since time.Duration `json:"since,omitempty"`
}

// QueueMemory is what is known of a destination, or of one route of it, which an endpoint names then.
type QueueMemory struct {
	Destination int           `json:"destination"`
	Route       string        `json:"route,omitempty"`
	Latency     LatencyMemory `json:"latency"`
	WaitUntil   time.Duration `json:"wait_until,omitempty"`
	HoldUntil   time.Duration `json:"hold_until,omitempty"`
	DoorUntil   time.Duration `json:"door_until,omitempty"`
	PausedAt    time.Duration `json:"paused_at,omitempty"`
	LimitAt     time.Duration `json:"limit_at,omitempty"`
	Fulls       int           `json:"fulls,omitempty"`
	FirstFull   time.Duration `json:"first_full,omitempty"`
	LastOK      time.Duration `json:"last_ok,omitempty"`
	Failures    float64       `json:"failures,omitempty"`
	Weight      float64       `json:"weight,omitempty"`
	Limit       float64       `json:"limit,omitempty"`
	Pace        float64       `json:"pace,omitempty"`
	Tokens      float64       `json:"tokens,omitempty"`
	TokensAt    time.Duration `json:"tokens_at,omitempty"`
	Arrivals    CountMemory   `json:"arrivals"`
	Misses      CountMemory   `json:"misses"`
	CopyWork    float64       `json:"copy_work,omitempty"`
	CopyAt      time.Duration `json:"copy_at,omitempty"`
	Ill         bool          `json:"ill,omitempty"`
}

// EndpointMemory is what is known of a listed endpoint.
type EndpointMemory struct {
	ID        string        `json:"id"`
	Failures  float64       `json:"failures,omitempty"`
	Strikes   []float64     `json:"strikes,omitempty"`
	Sick      bool          `json:"sick,omitempty"`
	SickAt    time.Duration `json:"sick_at,omitempty"`
	Recovered time.Duration `json:"recovered,omitempty"`
	Ramping   bool          `json:"ramping,omitempty"`
	Tokens    float64       `json:"tokens,omitempty"`
	TokensAt  time.Duration `json:"tokens_at,omitempty"`
	LastOK    time.Duration `json:"last_ok,omitempty"`
	LastUsed  time.Duration `json:"last_used,omitempty"`
	LastBegun time.Duration `json:"last_begun,omitempty"`
	LastTook  float64       `json:"last_took,omitempty"`
	ConnCap   float64       `json:"conn_cap,omitempty"`
}

func (l *latencies) memory() LatencyMemory { return LatencyMemory{l.n, l.mean, slices.Clone(l.class)} }

// recall takes latencies over; classes are matched by number, which both processes share.
func (l *latencies) recall(m LatencyMemory) {
	l.n, l.mean = m.N, m.Mean
	copy(l.class, m.Class)
}

func (a *aged) memory() CountMemory { return CountMemory{a.n, a.at, a.since} }

// Memory gives what this dispatcher has learned.
func (d *Dispatcher) Memory() *Memory {
	mem := &Memory{Kinds: map[int]LatencyMemory{}, Unanswered: d.unanswered}
	for _, m := range d.resting {
		if m.class.Ordered && m.Key != "" {
			mem.Rests = append(mem.Rests, RestMemory{m.Key, m.rest})
		}
	}
	for _, no := range sortedKeys(d.dests) {
		for _, q := range d.dests[no].queues {
			m := QueueMemory{Destination: no, Latency: q.latencies.memory(), WaitUntil: q.waitUntil, HoldUntil: q.holdUntil, DoorUntil: q.doorUntil,
				PausedAt: q.pausedAt, LimitAt: q.limitAt, Limit: q.limit, Fulls: q.fulls, FirstFull: q.firstFull, LastOK: q.lastOK, Failures: q.failures,
				Weight: q.weight, Pace: q.pace, Tokens: q.tokens,
				TokensAt: q.tokensAt, Arrivals: q.arrivals.memory(), Misses: q.misses.memory(), CopyWork: q.copyWork,
				CopyAt: q.copyAt, Ill: q.ill}
			if q.apart && len(q.eps) > 0 {
				m.Route = q.eps[0].ID
			}
			mem.Queues = append(mem.Queues, m)
		}
	}
	for _, id := range sortedKeys(d.endpoints) {
		ep := d.endpoints[id]
		mem.Endpoints = append(mem.Endpoints, EndpointMemory{ID: id, Failures: ep.failures, Strikes: slices.Clone(ep.strikes),
			Sick: ep.sick, SickAt: ep.sickAt, Recovered: ep.recovered, Ramping: ep.ramping, Tokens: ep.tokens,
			TokensAt: ep.tokensAt, LastOK: ep.lastOK, LastUsed: ep.lastUsed, LastBegun: ep.lastBegun, LastTook: ep.lastTook,
			ConnCap: ep.connCap})
	}
	for kind, p := range d.pools {
		mem.Kinds[kind] = p.memory()
	}
	return mem
}

// inherit takes over what the process before had learned; the list comes before it. What it names and the list does not
// have any more is left out, but for a destination's waits: they hold for whatever endpoint comes next.
func (d *Dispatcher) inherit(mem *Memory) {
	d.unanswered = mem.Unanswered
	for _, r := range mem.Rests {
		m := &message{Arrived: Arrived{Key: r.Key}, over: true, rest: r.Until}
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
		q.waitUntil, q.holdUntil, q.doorUntil = m.WaitUntil, m.HoldUntil, m.DoorUntil
		q.pausedAt, q.limitAt, q.lastOK, q.failures = m.PausedAt, m.LimitAt, m.LastOK, m.Failures
		q.fulls, q.firstFull, q.limit = m.Fulls, m.FirstFull, m.Limit
		if q.weight == m.Weight { // else the list has told another rate since, and the pace began anew
			q.pace, q.tokens, q.tokensAt = m.Pace, m.Tokens, m.TokensAt
		}
		q.arrivals, q.misses = m.Arrivals.aged(), m.Misses.aged()
		q.copyWork, q.copyAt, q.ill = m.CopyWork, m.CopyAt, m.Ill
	}
	for _, m := range mem.Endpoints {
		ep := d.endpoints[m.ID]
		if ep == nil {
			continue
		}
		if m.Sick != ep.sick {
			d.down += map[bool]int{true: 1, false: -1}[m.Sick]
		}
		ep.failures, ep.sick, ep.sickAt, ep.recovered, ep.ramping = m.Failures, m.Sick, m.SickAt, m.Recovered, m.Ramping
		copy(ep.strikes, m.Strikes)
		ep.tokens, ep.tokensAt, ep.lastOK, ep.lastUsed = m.Tokens, m.TokensAt, m.LastOK, m.LastUsed
		ep.lastBegun, ep.lastTook, ep.connCap = m.LastBegun, m.LastTook, m.ConnCap
	}
}

func (m CountMemory) aged() aged { return aged{m.N, m.At, m.Since} }

// sortedKeys are a map's keys in order: what is carried over is the same each time.
func sortedKeys[K int | string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
