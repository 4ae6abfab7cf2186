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
	mem := &Snapshot{Kinds: map[int]LatencySnapshot{}, Unanswered: d.unansweredShare}
	for _, m := range d.coolingDown {
		if m.class.Ordered && m.OrderKey != "" {
			mem.KeyCooldowns = append(mem.KeyCooldowns, KeyCooldownSnapshot{m.OrderKey, m.cooldownUntil})
		}
	}
	for _, no := range sortedKeys(d.destinations) {
		for _, q := range d.destinations[no].queues {
			m := QueueSnapshot{
				Destination: no, Latency: q.latencyStats.snapshot(), WaitUntil: q.retryAfterUntil, HoldUntil: q.backoffUntil, ConnHoldUntil: q.connHoldUntil,
				PausedAt: q.backoffStart, LimitAt: q.lastLimitRejection, Limit: q.reportedLimit, Rejections: q.rejections, FirstRejection: q.firstRejection, LastOK: q.lastSuccess, Failures: q.connFailures,
				Weight: q.listedRate, SendRate: q.sendRate, Tokens: q.tokens,
				TokensAt: q.refilledAt, Arrivals: q.arrivals.snapshot(), Misses: q.shadowRejections.snapshot(), ShadowWork: q.shadowBacklog,
				ShadowAt: q.shadowAt, Unhealthy: q.unhealthy,
			}
			if q.separateRoute && len(q.endpoints) > 0 {
				m.Route = q.endpoints[0].ID
			}
			mem.Queues = append(mem.Queues, m)
		}
	}
	for _, id := range sortedKeys(d.endpoints) {
		ep := d.endpoints[id]
		mem.Endpoints = append(mem.Endpoints, EndpointSnapshot{
			ID: id, Failures: ep.consecutiveFailures, ClassFailures: slices.Clone(ep.classFailures),
			Unhealthy: ep.sick, UnhealthySince: ep.unhealthySince, Recovered: ep.recoveredAt, SlowStart: ep.ramping, Tokens: ep.tokens,
			TokensAt: ep.refilledAt, LastOK: ep.lastSuccess, LastUsed: ep.lastUsed, LastBegun: ep.latestSuccessSent, LastLatency: ep.lastLatency,
			ConnLimit: ep.connLimit,
		})
	}
	for kind, p := range d.kindLatency {
		mem.Kinds[kind] = p.snapshot()
	}
	return mem
}

// restoreSnapshot takes over what the process before had learned; the list comes before it. What it names and the list does not
// have any more is left out, but for a destination's waits: they hold for whatever endpoint comes next.
func (d *Dispatcher) restoreSnapshot(mem *Snapshot) {
	d.unansweredShare = mem.Unanswered
	for _, r := range mem.KeyCooldowns {
		m := &message{Arrived: Arrived{OrderKey: r.Key}, over: true, cooldownUntil: r.Until}
		d.orderKeys[r.Key] = append(d.orderKeys[r.Key], m)
		d.coolingDown = append(d.coolingDown, m)
	}
	for kind, m := range mem.Kinds {
		d.latencyOfKind(kind).restore(m)
	}
	for _, m := range mem.Queues {
		q := d.destination(m.Destination).queues[0]
		if m.Route != "" {
			ep := d.endpoints[m.Route]
			if ep == nil {
				continue
			}
			q = ep.queue
		}
		q.latencyStats.restore(m.Latency)
		q.retryAfterUntil, q.backoffUntil, q.connHoldUntil = m.WaitUntil, m.HoldUntil, m.ConnHoldUntil
		q.backoffStart, q.lastLimitRejection, q.lastSuccess, q.connFailures = m.PausedAt, m.LimitAt, m.LastOK, m.Failures
		q.rejections, q.firstRejection, q.reportedLimit = m.Rejections, m.FirstRejection, m.Limit
		if q.listedRate == m.Weight { // else the list has told another rate since, and the pace began anew
			q.sendRate, q.tokens, q.refilledAt = m.SendRate, m.Tokens, m.TokensAt
		}
		q.arrivals, q.shadowRejections = m.Arrivals.counter(), m.Misses.counter()
		q.shadowBacklog, q.shadowAt, q.unhealthy = m.ShadowWork, m.ShadowAt, m.Unhealthy
	}
	for _, m := range mem.Endpoints {
		ep := d.endpoints[m.ID]
		if ep == nil {
			continue
		}
		if m.Unhealthy != ep.sick {
			d.unhealthyCount += map[bool]int{true: 1, false: -1}[m.Unhealthy]
		}
		ep.consecutiveFailures, ep.sick, ep.unhealthySince, ep.recoveredAt, ep.ramping = m.Failures, m.Unhealthy, m.UnhealthySince, m.Recovered, m.SlowStart
		copy(ep.classFailures, m.ClassFailures)
		ep.tokens, ep.refilledAt, ep.lastSuccess, ep.lastUsed = m.Tokens, m.TokensAt, m.LastOK, m.LastUsed
		ep.latestSuccessSent, ep.lastLatency, ep.connLimit = m.LastBegun, m.LastLatency, m.ConnLimit
	}
}

func (l *latencyStats) snapshot() LatencySnapshot {
	return LatencySnapshot{l.latencySamples, l.meanLatency, slices.Clone(l.classLatency)}
}

// restore takes latencies over; classes are matched by number, which both processes share.
func (l *latencyStats) restore(m LatencySnapshot) {
	l.latencySamples, l.meanLatency = m.N, m.Mean
	copy(l.classLatency, m.Class)
}

func (a *decayingCounter) snapshot() CounterSnapshot {
	return CounterSnapshot{a.value, a.updatedAt, a.startedAt}
}

func (m CounterSnapshot) counter() decayingCounter { return decayingCounter{m.N, m.At, m.Since} }

// sortedKeys are a map's keys in order: what is carried over is the same each time.
func sortedKeys[K int | string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
