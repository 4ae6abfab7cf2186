package checker

import "time"

// The tolerances within which a relay's metrics have to agree with the expected metrics: they may lag, and may differ by a small
// number or by a share, whichever is larger. The share is larger for attempts than for outcomes, because the relay counts attempts
// in the goroutines that write them, and outcomes in its event loop. The number in flight, a gauge, has a separate share.
const (
	metricsLag          = 500 * time.Millisecond
	minDifference       = 3.0
	differenceShare     = 0.01
	attemptsShare       = 0.02
	inFlightShare       = 0.1
	maxMetricViolations = 3 // per relay, because a counter that is wrong once stays wrong in every later scrape
)

// Scrape holds the metrics that were read from the admin endpoint of a relay's process.
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

// process is one process of a relay. Its metrics count from its start; outcomes between its start and the time at which it accepts
// requests may be counted by its predecessor.
type process struct{ startedAt, readyAt time.Duration }

// countsSince returns the time from which the process counts all outcomes; never, if it is not ready.
func (p *process) countsSince() time.Duration {
	if p.readyAt == never {
		return never
	}
	return p.readyAt + metricsLag
}

// metricsChecker compares the metrics of all relays with the log.
type metricsChecker struct {
	history    *history
	expected   map[int]*expectedMetrics
	processes  map[int]map[int]*process // by relay and process number
	violations map[int]int              // by relay
}

// checkMetrics checks each scrape of an admin endpoint against the expected metrics of its relay.
func (h *history) checkMetrics(log []Event) {
	c := &metricsChecker{history: h, expected: map[int]*expectedMetrics{}, processes: map[int]map[int]*process{}, violations: map[int]int{}}
	for _, e := range log {
		switch e.Kind {
		case Started:
			c.start(e)
		case Ready:
			if p := c.processes[e.Relay][e.Process]; p != nil {
				p.readyAt = e.At
			}
		case MetricsRead:
			c.check(e)
		default:
		}
	}
}

// start adds a new process.
func (c *metricsChecker) start(e Event) {
	if c.processes[e.Relay] == nil {
		c.processes[e.Relay] = map[int]*process{}
	}
	c.processes[e.Relay][e.Process] = &process{e.At, never}
}

// check checks one scrape.
func (c *metricsChecker) check(e Event) {
	m := c.expected[e.Relay]
	if m == nil {
		m = c.history.expectedMetrics(e.Relay)
		c.expected[e.Relay] = m
	}
	p := c.processes[e.Relay][e.Process]
	if p == nil || c.violations[e.Relay] >= maxMetricViolations {
		return
	}
	for _, text := range m.differences(e.At, p, e.Metrics) {
		c.violations[e.Relay]++
		c.history.report(MetricsWrong, e.At, "", e.Relay, -1, "%s", text)
	}
}
