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

// The margins within which a relay's metrics have to agree with the account: they may lag, and differ by a few or by a share.
// Attempts are written by other goroutines than the one that counts outcomes, and get a larger share.
const (
	metricsLag          = 500 * time.Millisecond
	minDifference       = 3.0
	differenceShare     = 0.01
	attemptsShare       = 0.02
	inFlightShare       = 0.1
	maxMetricViolations = 3 // a relay that counts wrongly once is wrong from there on
)

// The metrics under which each request is counted once.
const (
	successMetric = "success"
	busyMetric    = "busy"
	failureMetric = "failure"
)

// Scrape is what a relay's admin endpoint showed.
type Scrape struct {
	Success        map[string]int `json:"success"`
	Busy           map[string]int `json:"busy"`
	Failure        map[string]int `json:"failure"`
	BackendCalls   int            `json:"backend_calls"`
	Inflight       int            `json:"inflight"`
	HostsListed    int            `json:"hosts_listed"`
	HostsDown      int            `json:"hosts_down"`
	ReconfigOK     int            `json:"reconfig_ok"`
	ReconfigFailed int            `json:"reconfig_failed"`
}

// account is what the log says of one relay, over all its processes: when each of its requests came under which metric.
type account struct {
	outcomes    map[string]map[string][]time.Duration // by metric and class
	unanswered  map[string][]time.Duration            // by class: these may be counted under any metric, or under none
	attempts    []time.Duration
	surelyHeld  []inFlightChange // requests whose clients know that they were accepted, until their outcome
	perhapsHeld []inFlightChange // the same with those that were not answered yet
}

// inFlightChange changes the number of requests in flight.
type inFlightChange struct {
	at time.Duration
	by int
}

// process is one process of a relay: its metrics count from its start, and outcomes before it takes clients may be counted by
// the process before it.
type process struct{ started, ready time.Duration }

// metricsCheck compares the metrics of all relays with the log.
type metricsCheck struct {
	history    *history
	accounts   map[int]*account
	processes  map[int]map[int]*process // by relay and number
	violations map[int]int              // by relay
}

// checkMetrics checks what each admin endpoint showed against the account of its relay.
func (h *history) checkMetrics(log []Event) {
	c := &metricsCheck{history: h, accounts: map[int]*account{}, processes: map[int]map[int]*process{}, violations: map[int]int{}}
	for _, e := range log {
		switch e.Kind {
		case Started:
			c.start(e)
		case Ready:
			if p := c.processes[e.Relay][e.Process]; p != nil {
				p.ready = e.At
			}
		case MetricsRead:
			c.check(e)
		default:
		}
	}
}

// start notes a new process.
func (c *metricsCheck) start(e Event) {
	if c.processes[e.Relay] == nil {
		c.processes[e.Relay] = map[int]*process{}
	}
	c.processes[e.Relay][e.Process] = &process{e.At, never}
}

// check checks one scrape.
func (c *metricsCheck) check(e Event) {
	a := c.accounts[e.Relay]
	if a == nil {
		a = c.history.account(e.Relay)
		c.accounts[e.Relay] = a
	}
	p := c.processes[e.Relay][e.Process]
	if p == nil || c.violations[e.Relay] >= maxMetricViolations {
		return
	}
	for _, text := range a.differences(e.At, p, e.Metrics) {
		c.violations[e.Relay]++
		c.history.report(MetricsWrong, e.At, "", e.Relay, -1, "%s", text)
	}
}

// account puts together what a relay's metrics should say.
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
	for _, at := range h.attempts {
		if at.relay == relay && !at.probe && at.outcome != NotSent {
			a.attempts = append(a.attempts, at.lastByte)
		}
	}
	a.sort()
	return a
}

// add accounts for a request.
func (a *account) add(r *request, class string) {
	metric, at := r.metric()
	a.perhapsHeld = append(a.perhapsHeld, inFlightChange{r.submittedAt, 1})
	switch {
	case r.answeredAt < 0:
		a.unanswered[class] = append(a.unanswered[class], r.submittedAt)
		if at = r.completedAt(); at < 0 {
			at = r.deadline
		}
		a.perhapsHeld = append(a.perhapsHeld, inFlightChange{max(at, r.submittedAt), -1})
		return
	case r.accepted:
		a.surelyHeld = append(a.surelyHeld, inFlightChange{r.answeredAt, 1})
		if metric != "" {
			a.surelyHeld, a.perhapsHeld = append(a.surelyHeld, inFlightChange{at, -1}), append(a.perhapsHeld, inFlightChange{at, -1})
		}
	default:
		a.perhapsHeld = append(a.perhapsHeld, inFlightChange{r.answeredAt, -1})
	}
	if metric != "" {
		a.outcomes[metric][class] = append(a.outcomes[metric][class], at)
	}
}

// sort puts all times in order.
func (a *account) sort() {
	for _, byClass := range a.outcomes {
		for _, times := range byClass {
			slices.Sort(times)
		}
	}
	for _, changes := range [][]inFlightChange{a.surelyHeld, a.perhapsHeld} {
		slices.SortFunc(changes, func(x, y inFlightChange) int { return cmp.Compare(x.at, y.at) })
	}
}

// metric is the metric that a request comes under, and when; "" while it has no outcome, or none that is counted.
func (r *request) metric() (metric string, at time.Duration) {
	end := r.completedAt()
	switch {
	case r.answeredAt < 0:
		return "", 0
	case !r.accepted && statusOf(r.status) == Deferred:
		return busyMetric, r.answeredAt
	case !r.accepted && r.status >= http.StatusInternalServerError:
		return failureMetric, r.answeredAt
	case !r.accepted: // it was malformed
		return "", 0
	case end < 0:
		return "", 0
	case r.deliveredAt >= 0 && r.deliveredAt == end:
		return successMetric, max(r.deliveredAt, r.answeredAt)
	case len(r.notices) > 0 && r.notices[0].At == end && r.notices[0].State == Deferred:
		return busyMetric, end
	}
	return failureMetric, end
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

// differences names what in metrics that were read at a time does not agree with the account.
func (a *account) differences(at time.Duration, p *process, s *Scrape) (found []string) {
	check := func(name string, shown, least, most int, share float64) {
		slack := math.Max(minDifference, share*float64(most))
		if float64(shown) < float64(least)-slack || float64(shown) > float64(most)+slack {
			found = append(found, fmt.Sprintf("%s shows %d, and the log has %d to %d", name, shown, least, most))
		}
	}
	counts := map[string]map[string]int{successMetric: s.Success, busyMetric: s.Busy, failureMetric: s.Failure}
	for _, metric := range slices.Sorted(maps.Keys(counts)) {
		for class, shown := range counts[metric] {
			times := a.outcomes[metric][class]
			least := between(times, p.ready+metricsLag, at-metricsLag)
			most := between(times, p.started-metricsLag, at+metricsLag) + between(a.unanswered[class], p.started-metricsLag, at)
			check(metric+" of "+class, shown, least, most, differenceShare)
		}
	}
	check("backend_calls", s.BackendCalls, between(a.attempts, p.ready+metricsLag, at-metricsLag),
		between(a.attempts, p.started-metricsLag, at+metricsLag), attemptsShare)
	least, _ := heldBetween(a.surelyHeld, at-metricsLag, at+metricsLag)
	_, most := heldBetween(a.perhapsHeld, at-metricsLag, at+metricsLag)
	check("inflight", s.Inflight, least, most, inFlightShare)
	return found
}

// heldBetween returns the least and the most requests in flight between two times.
func heldBetween(changes []inFlightChange, from, to time.Duration) (least, most int) {
	n := 0
	for _, c := range changes {
		if c.at <= from {
			n += c.by
		}
	}
	least, most = n, n
	for _, c := range changes {
		if c.at > from && c.at <= to {
			n += c.by
			least, most = min(least, n), max(most, n)
		}
	}
	return least, most
}
