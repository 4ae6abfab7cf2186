package checker

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"
)

// The metrics that count outcomes. Each request is counted once, under one of them.
const (
	successMetric = "success"
	busyMetric    = "busy"
	failureMetric = "failure"
)

// expectedMetrics are the values that the metrics of one relay, over all of its processes, should have according to the log: when
// each of the relay's requests is counted, and under which metric.
type expectedMetrics struct {
	outcomes         map[string]map[string][]time.Duration // by metric and class
	unanswered       map[string][]time.Duration            // submission times by class; these requests may be counted under any metric, or under none
	attempts         []time.Duration
	certainInFlight  []inFlightChange // accepted requests, from the response until the outcome
	possibleInFlight []inFlightChange // all requests, from the submission until the outcome or the rejection; without a response or outcome, until the deadline
}

// inFlightChange is a change of the number of requests in flight.
type inFlightChange struct {
	at time.Duration
	by int
}

// expectedMetrics returns the expected metrics of a relay.
func (h *history) expectedMetrics(relay int) *expectedMetrics {
	m := &expectedMetrics{
		outcomes:   map[string]map[string][]time.Duration{successMetric: {}, busyMetric: {}, failureMetric: {}},
		unanswered: map[string][]time.Duration{},
	}
	for _, r := range h.requests {
		if r.relay == relay && !r.redelivery && !r.fromStore {
			m.add(r, h.Settings.Classes[r.class].Name)
		}
	}
	for _, attempt := range h.attempts {
		if attempt.relay == relay && !attempt.probe && attempt.outcome != NotSent {
			m.attempts = append(m.attempts, attempt.lastByte)
		}
	}
	m.sort()
	return m
}

// add adds a request.
func (m *expectedMetrics) add(r *request, class string) {
	metric, at := r.metric()
	m.possibleInFlight = append(m.possibleInFlight, inFlightChange{r.submittedAt, 1})
	switch {
	case r.answeredAt < 0:
		m.unanswered[class] = append(m.unanswered[class], r.submittedAt)
		if at = r.completedAt(); at < 0 {
			at = r.deadline
		}
		m.possibleInFlight = append(m.possibleInFlight, inFlightChange{max(at, r.submittedAt), -1})
		return
	case r.accepted:
		m.certainInFlight = append(m.certainInFlight, inFlightChange{r.answeredAt, 1})
		if metric != "" {
			m.certainInFlight, m.possibleInFlight = append(m.certainInFlight, inFlightChange{at, -1}), append(m.possibleInFlight, inFlightChange{at, -1})
		}
	default:
		m.possibleInFlight = append(m.possibleInFlight, inFlightChange{r.answeredAt, -1})
	}
	if metric != "" {
		m.outcomes[metric][class] = append(m.outcomes[metric][class], at)
	}
}

// sort sorts the outcomes and the changes of the number in flight by time.
func (m *expectedMetrics) sort() {
	for _, byClass := range m.outcomes {
		for _, times := range byClass {
			slices.Sort(times)
		}
	}
	for _, changes := range [][]inFlightChange{m.certainInFlight, m.possibleInFlight} {
		slices.SortFunc(changes, func(x, y inFlightChange) int { return cmp.Compare(x.at, y.at) })
	}
}

// metric returns the metric under which a request is counted and the time at which it is counted. The metric is empty for a request
// that has no outcome, or an outcome that no metric counts.
func (r *request) metric() (metric string, at time.Duration) {
	completed := r.completedAt()
	switch {
	case r.answeredAt < 0:
		return "", 0
	case !r.accepted && equivalentNotice(r.status) == Deferred:
		return busyMetric, r.answeredAt
	case !r.accepted && r.status >= http.StatusInternalServerError:
		return failureMetric, r.answeredAt
	case !r.accepted: // the request was malformed
		return "", 0
	case completed < 0:
		return "", 0
	case r.deliveredAt >= 0 && r.deliveredAt == completed:
		return successMetric, max(r.deliveredAt, r.answeredAt)
	case len(r.notices) > 0 && r.notices[0].State == Deferred:
		return busyMetric, r.notices[0].At // also after a response that the request is over, which may not have counted
	case len(r.notices) > 0:
		return failureMetric, r.notices[0].At
	}
	return failureMetric, completed
}

// between returns the number of times that are later than after and not later than until.
func between(times []time.Duration, after, until time.Duration) int {
	n := 0
	for _, t := range times {
		if t > after && t <= until {
			n++
		}
	}
	return n
}

// differences describes each metric of a scrape, read from process p at a time, that disagrees with the expected value.
func (m *expectedMetrics) differences(at time.Duration, p *process, s *Scrape) (found []string) {
	check := func(name string, shown, low, high int, share float64) {
		slack := math.Max(minDifference, share*float64(high))
		if float64(shown) < float64(low)-slack || float64(shown) > float64(high)+slack {
			found = append(found, fmt.Sprintf("%s shows %d, and the log has %d to %d", name, shown, low, high))
		}
	}
	since := p.countsSince()
	counts := map[string]map[string]int{successMetric: s.Success, busyMetric: s.Busy, failureMetric: s.Failure}
	for _, metric := range slices.Sorted(maps.Keys(counts)) {
		for class, shown := range counts[metric] {
			times := m.outcomes[metric][class]
			low := between(times, since, at-metricsLag)
			high := between(times, p.startedAt-metricsLag, at+metricsLag) + between(m.unanswered[class], p.startedAt-metricsLag, at)
			check(metric+" of "+class, shown, low, high, differenceShare)
		}
	}
	check("backend_calls", s.BackendCalls, between(m.attempts, since, at-metricsLag),
		between(m.attempts, p.startedAt-metricsLag, at+metricsLag), attemptsShare)
	low, _ := inFlightBetween(m.certainInFlight, at-metricsLag, at+metricsLag)
	if since == never { // it may not have read its journal yet
		low = 0
	}
	_, high := inFlightBetween(m.possibleInFlight, at-metricsLag, at+metricsLag)
	check("inflight", s.Inflight, low, high, inFlightShare)
	return found
}

// inFlightBetween returns the minimum and the maximum number of requests in flight between two times.
func inFlightBetween(changes []inFlightChange, from, to time.Duration) (low, high int) {
	n := 0
	for _, c := range changes {
		if c.at <= from {
			n += c.by
		}
	}
	low, high = n, n
	for _, c := range changes {
		if c.at > from && c.at <= to {
			n += c.by
			low, high = min(low, n), max(high, n)
		}
	}
	return low, high
}
