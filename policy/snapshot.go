package policy

import (
	"maps"
	"slices"
	"time"
)

// Snapshot is the state of a Dispatcher that is handed over to the successor process: the
// statistics of its destinations and the order keys in cooldown. Times are readings of a clock that
// both processes share. The JSON names are those of the stored form.
type Snapshot struct {
	Queues          []QueueSnapshot         `json:"queues"`
	Endpoints       []EndpointSnapshot      `json:"endpoints"`
	Kinds           map[int]LatencySnapshot `json:"kinds,omitempty"`
	UnansweredShare float64                 `json:"unanswered,omitempty"`
	KeyCooldowns    []KeyCooldownSnapshot   `json:"rests,omitempty"`
}

// KeyCooldownSnapshot is an order key that is blocked after a message with a terminal outcome.
type KeyCooldownSnapshot struct {
	Key   string        `json:"key"`
	Until time.Duration `json:"until"`
}

// LatencySnapshot holds mean latencies in seconds.
type LatencySnapshot struct {
	Samples int       `json:"n,omitempty"`
	Mean    float64   `json:"mean,omitempty"`
	ByClass []float64 `json:"class,omitempty"`
}

// CounterSnapshot is the state of a decaying counter.
type CounterSnapshot struct {
	Value     float64       `json:"n,omitempty"`
	UpdatedAt time.Duration `json:"at,omitempty"`
	StartedAt time.Duration `json:"since,omitempty"`
}

// QueueSnapshot is the state of the queue of a destination or, if Route is set, of the separate
// route whose endpoint has the ID Route.
type QueueSnapshot struct {
	Destination        int             `json:"destination"`
	Route              string          `json:"route,omitempty"`
	Latency            LatencySnapshot `json:"latency"`
	RetryAfterUntil    time.Duration   `json:"wait_until,omitempty"`
	BackoffUntil       time.Duration   `json:"hold_until,omitempty"`
	ConnHoldUntil      time.Duration   `json:"door_until,omitempty"`
	BackoffStart       time.Duration   `json:"paused_at,omitempty"`
	LastLimitRejection time.Duration   `json:"limit_at,omitempty"`
	Rejections         int             `json:"fulls,omitempty"`
	FirstRejection     time.Duration   `json:"first_full,omitempty"`
	LastSuccess        time.Duration   `json:"last_ok,omitempty"`
	ConnFailures       float64         `json:"failures,omitempty"`
	ListedRate         float64         `json:"weight,omitempty"`
	ReportedLimit      float64         `json:"limit,omitempty"`
	SendRate           float64         `json:"pace,omitempty"`
	Tokens             float64         `json:"tokens,omitempty"`
	RefilledAt         time.Duration   `json:"tokens_at,omitempty"`
	Arrivals           CounterSnapshot `json:"arrivals"`
	ShadowRejections   CounterSnapshot `json:"misses"`
	ShadowBacklog      float64         `json:"copy_work,omitempty"`
	ShadowAt           time.Duration   `json:"copy_at,omitempty"`
	Unhealthy          bool            `json:"ill,omitempty"`
}

// EndpointSnapshot is the state of a listed endpoint.
type EndpointSnapshot struct {
	ID                  string        `json:"id"`
	ConsecutiveFailures float64       `json:"failures,omitempty"`
	ClassFailures       []float64     `json:"strikes,omitempty"`
	Unhealthy           bool          `json:"sick,omitempty"`
	UnhealthySince      time.Duration `json:"sick_at,omitempty"`
	RecoveredAt         time.Duration `json:"recovered,omitempty"`
	SlowStart           bool          `json:"ramping,omitempty"`
	Tokens              float64       `json:"tokens,omitempty"`
	RefilledAt          time.Duration `json:"tokens_at,omitempty"`
	LastSuccess         time.Duration `json:"last_ok,omitempty"`
	LastUsed            time.Duration `json:"last_used,omitempty"`
	LatestSuccessSent   time.Duration `json:"last_begun,omitempty"`
	LastLatency         float64       `json:"last_took,omitempty"`
	ConnLimit           float64       `json:"conn_cap,omitempty"`
}

// Snapshot returns the state to hand over to the successor process.
func (d *Dispatcher) Snapshot() *Snapshot {
	s := &Snapshot{
		Kinds: map[int]LatencySnapshot{}, UnansweredShare: d.unansweredShare, KeyCooldowns: d.keyCooldowns(),
	}
	// Sorted, so that the same state gives the same snapshot.
	for _, number := range slices.Sorted(maps.Keys(d.destinations)) {
		for _, q := range d.destinations[number].queues {
			s.Queues = append(s.Queues, q.snapshot(number))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.endpoints)) {
		s.Endpoints = append(s.Endpoints, d.endpoints[id].snapshot())
	}
	for kind, latency := range d.kindLatency {
		s.Kinds[kind] = latency.snapshot()
	}
	return s
}

func (l *latencyStats) snapshot() LatencySnapshot {
	return LatencySnapshot{Samples: l.samples, Mean: l.mean, ByClass: slices.Clone(l.byClass)}
}

func (c *decayingCounter) snapshot() CounterSnapshot {
	return CounterSnapshot{Value: c.value, UpdatedAt: c.updatedAt, StartedAt: c.startedAt}
}

// snapshot returns the state of a queue. The parameter is the number of its destination.
func (q *queue) snapshot(destination int) QueueSnapshot {
	s := QueueSnapshot{
		Destination:        destination,
		Latency:            q.latency.snapshot(),
		RetryAfterUntil:    q.retryAfterUntil,
		BackoffUntil:       q.backoffUntil,
		ConnHoldUntil:      q.connHoldUntil,
		BackoffStart:       q.backoffStart,
		LastLimitRejection: q.lastLimitRejection,
		Rejections:         q.rejections,
		FirstRejection:     q.firstRejection,
		LastSuccess:        q.lastSuccess,
		ConnFailures:       q.connFailures,
		ListedRate:         q.listedRate,
		ReportedLimit:      q.reportedLimit,
		SendRate:           q.sendRate,
		Tokens:             q.sendBucket.tokens,
		RefilledAt:         q.sendBucket.refilledAt,
		Arrivals:           q.arrivals.snapshot(),
		ShadowRejections:   q.shadowRejections.snapshot(),
		ShadowBacklog:      q.shadowBacklog,
		ShadowAt:           q.shadowAt,
		Unhealthy:          q.unhealthy,
	}
	if q.separateRoute && len(q.endpoints) > 0 {
		s.Route = q.endpoints[0].ID
	}
	return s
}

func (ep *endpoint) snapshot() EndpointSnapshot {
	return EndpointSnapshot{
		ID:                  ep.ID,
		ConsecutiveFailures: ep.consecutiveFailures,
		ClassFailures:       slices.Clone(ep.classFailures),
		Unhealthy:           ep.health.isUnhealthy(),
		UnhealthySince:      ep.unhealthySince,
		RecoveredAt:         ep.recoveredAt,
		SlowStart:           ep.health.hasRecovery(),
		Tokens:              ep.recoveryBucket.tokens,
		RefilledAt:          ep.recoveryBucket.refilledAt,
		LastSuccess:         ep.lastSuccess,
		LastUsed:            ep.lastUsed,
		LatestSuccessSent:   ep.latestSuccessSent,
		LastLatency:         ep.lastLatency,
		ConnLimit:           ep.connLimit,
	}
}

// restoreSnapshot restores the snapshot of the predecessor process. The endpoint list must have
// been applied before. Endpoints and separate routes that are no longer listed are skipped. The
// queue of a destination is restored even if none of its endpoints is listed, because its backoff
// and Retry-After apply to any endpoint listed later.
func (d *Dispatcher) restoreSnapshot(s *Snapshot) {
	d.unansweredShare = s.UnansweredShare
	for _, cooldown := range s.KeyCooldowns {
		d.restoreKeyCooldown(cooldown)
	}
	for kind, latency := range s.Kinds {
		d.latencyOfKind(kind).restore(latency)
	}
	for i := range s.Queues {
		d.restoreQueue(&s.Queues[i])
	}
	for i := range s.Endpoints {
		d.restoreEndpoint(&s.Endpoints[i])
	}
}

// restore replaces the latency statistics. Both processes use the same class numbers.
func (l *latencyStats) restore(s LatencySnapshot) {
	l.samples, l.mean = s.Samples, s.Mean
	copy(l.byClass, s.ByClass)
}

// counter returns the counter with the state in the snapshot.
func (s CounterSnapshot) counter() decayingCounter {
	return decayingCounter{value: s.Value, updatedAt: s.UpdatedAt, startedAt: s.StartedAt}
}

// restoreQueue restores the queue of a destination or separate route.
func (d *Dispatcher) restoreQueue(s *QueueSnapshot) {
	q := d.destination(s.Destination).queues[0]
	if s.Route != "" {
		ep := d.endpoints[s.Route]
		if ep == nil {
			return
		}
		q = ep.queue
	}
	q.latency.restore(s.Latency)
	q.retryAfterUntil, q.backoffUntil, q.connHoldUntil = s.RetryAfterUntil, s.BackoffUntil, s.ConnHoldUntil
	q.backoffStart, q.lastLimitRejection = s.BackoffStart, s.LastLimitRejection
	q.rejections, q.firstRejection = s.Rejections, s.FirstRejection
	q.lastSuccess, q.connFailures, q.unhealthy = s.LastSuccess, s.ConnFailures, s.Unhealthy
	q.reportedLimit = s.ReportedLimit
	if q.listedRate == s.ListedRate { // otherwise the listed rate has changed, and setListedRate has reset the send rate
		q.sendRate = s.SendRate
		q.sendBucket = tokenBucket{tokens: s.Tokens, refilledAt: s.RefilledAt}
	}
	q.arrivals, q.shadowRejections = s.Arrivals.counter(), s.ShadowRejections.counter()
	q.shadowBacklog, q.shadowAt = s.ShadowBacklog, s.ShadowAt
}

// restoreEndpoint restores the state of an endpoint.
func (d *Dispatcher) restoreEndpoint(s *EndpointSnapshot) {
	ep := d.endpoints[s.ID]
	if ep == nil {
		return
	}
	if ep.health.isUnhealthy() {
		d.unhealthyCount--
	}
	if s.Unhealthy {
		d.unhealthyCount++
	}
	ep.health, ep.unhealthySince, ep.recoveredAt = s.health(), s.UnhealthySince, s.RecoveredAt
	ep.recoveryBucket = tokenBucket{tokens: s.Tokens, refilledAt: s.RefilledAt}
	ep.consecutiveFailures = s.ConsecutiveFailures
	copy(ep.classFailures, s.ClassFailures)
	ep.lastUsed, ep.lastSuccess = s.LastUsed, s.LastSuccess
	ep.latestSuccessSent, ep.lastLatency, ep.connLimit = s.LatestSuccessSent, s.LastLatency, s.ConnLimit
}

// health returns the health state that the snapshot stores as two flags.
func (s *EndpointSnapshot) health() health {
	switch {
	case s.Unhealthy && s.SlowStart:
		return unhealthyRecoveryRecorded
	case s.Unhealthy:
		return unhealthy
	case s.SlowStart:
		return slowStart
	default:
		return healthy
	}
}
