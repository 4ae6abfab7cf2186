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

// The metrics under which each request is counted once.
const (
	successMetric = "success"
	busyMetric    = "busy"
	failureMetric = "failure"
)

// account is what the log says of one relay over all its processes: when each of its requests is counted under which metric.
type account struct {
	outcomes       map[string]map[string][]time.Duration // by metric and class
	unanswered     map[string][]time.Duration            // by class: these may be counted under any metric, or none
	attempts       []time.Duration
	surelyInFlight []inFlightChange // requests whose clients got a response that accepts them, until their outcome
	maybeInFlight  []inFlightChange // these, and requests that got no response yet
}

// inFlightChange changes the number of requests in flight.
type inFlightChange struct {
	at time.Duration
	by int
}

// account returns the account of a relay.
func (h *history) account(relay int) *account {
	a := &account{
		outcomes:   map[string]map[string][]time.Duration{successMetric: {}, busyMetric: {}, failureMetric: {}},
		unanswered: map[string][]time.Duration{},
	}
	for _, r := range h.requests {
		if r.relay == relay && !r.redelivery && !r.fromStore {
			a.add(r, h.Settings.Classes[r.class].Name)
		}
	}
	for _, attempt := range h.attempts {
		if attempt.relay == relay && !attempt.probe && attempt.outcome != NotSent {
			a.attempts = append(a.attempts, attempt.lastByte)
		}
	}
	a.sort()
	return a
}

// add adds a request.
func (a *account) add(r *request, class string) {
	metric, at := r.metric()
	a.maybeInFlight = append(a.maybeInFlight, inFlightChange{r.submittedAt, 1})
	switch {
	case r.answeredAt < 0:
		a.unanswered[class] = append(a.unanswered[class], r.submittedAt)
		if at = r.completedAt(); at < 0 {
			at = r.deadline
		}
		a.maybeInFlight = append(a.maybeInFlight, inFlightChange{max(at, r.submittedAt), -1})
		return
	case r.accepted:
		a.surelyInFlight = append(a.surelyInFlight, inFlightChange{r.answeredAt, 1})
		if metric != "" {
			a.surelyInFlight, a.maybeInFlight = append(a.surelyInFlight, inFlightChange{at, -1}), append(a.maybeInFlight, inFlightChange{at, -1})
		}
	default:
		a.maybeInFlight = append(a.maybeInFlight, inFlightChange{r.answeredAt, -1})
	}
	if metric != "" {
		a.outcomes[metric][class] = append(a.outcomes[metric][class], at)
	}
}

// sort sorts all times.
func (a *account) sort() {
	for _, byClass := range a.outcomes {
		for _, times := range byClass {
			slices.Sort(times)
		}
	}
	for _, changes := range [][]inFlightChange{a.surelyInFlight, a.maybeInFlight} {
		slices.SortFunc(changes, func(x, y inFlightChange) int { return cmp.Compare(x.at, y.at) })
	}
}

// metric is the metric under which a request is counted, and when; "" while it has no outcome, or one that is not counted.
func (r *request) metric() (metric string, at time.Duration) {
	completed := r.completedAt()
	switch {
	case r.answeredAt < 0:
		return "", 0
	case !r.accepted && statusOf(r.status) == Deferred:
		return busyMetric, r.answeredAt
	case !r.accepted && r.status >= http.StatusInternalServerError:
		return failureMetric, r.answeredAt
	case !r.accepted: // it was malformed
		return "", 0
	case completed < 0:
		return "", 0
	case r.deliveredAt >= 0 && r.deliveredAt == completed:
		return successMetric, max(r.deliveredAt, r.answeredAt)
	case len(r.notices) > 0 && r.notices[0].At == completed && r.notices[0].State == Deferred:
		return busyMetric, completed
	}
	return failureMetric, completed
}

// between counts the times after one and up to another.
func between(times []time.Duration, after, until time.Duration) int {
	n := 0
	for _, t := range times {
		if t > after && t <= until {
			n++
		}
	}
	return n
}

// differences describes what in metrics that were read at a time does not agree with the account.
func (a *account) differences(at time.Duration, p *process, s *Scrape) (found []string) {
	check := func(name string, shown, low, high int, share float64) {
		slack := math.Max(minDifference, share*float64(high))
		if float64(shown) < float64(low)-slack || float64(shown) > float64(high)+slack {
			found = append(found, fmt.Sprintf("%s shows %d, and the log has %d to %d", name, shown, low, high))
		}
	}
	counts := map[string]map[string]int{successMetric: s.Success, busyMetric: s.Busy, failureMetric: s.Failure}
	for _, metric := range slices.Sorted(maps.Keys(counts)) {
		for class, shown := range counts[metric] {
			times := a.outcomes[metric][class]
			low := between(times, p.readyAt+metricsLag, at-metricsLag)
			high := between(times, p.startedAt-metricsLag, at+metricsLag) + between(a.unanswered[class], p.startedAt-metricsLag, at)
			check(metric+" of "+class, shown, low, high, differenceShare)
		}
	}
	check("backend_calls", s.BackendCalls, between(a.attempts, p.readyAt+metricsLag, at-metricsLag),
		between(a.attempts, p.startedAt-metricsLag, at+metricsLag), attemptsShare)
	low, _ := inFlightBetween(a.surelyInFlight, at-metricsLag, at+metricsLag)
	_, high := inFlightBetween(a.maybeInFlight, at-metricsLag, at+metricsLag)
	check("inflight", s.Inflight, low, high, inFlightShare)
	return found
}

// inFlightBetween returns the lowest and the highest number of requests in flight between two times.
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
