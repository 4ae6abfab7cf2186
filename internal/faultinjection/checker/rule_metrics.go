package checker

import "time"

// The tolerances within which a relay's metrics have to agree with its account: they may lag, and differ by a few or by a share.
// Attempts are counted by other goroutines than outcomes, and get a larger share.
const (
	metricsLag          = 500 * time.Millisecond
	minDifference       = 3.0
	differenceShare     = 0.01
	attemptsShare       = 0.02
	inFlightShare       = 0.1
	maxMetricViolations = 3 // of a relay: one that counts wrongly once is wrong from then on
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

// process is one process of a relay. Its metrics count from its start; outcomes before it accepts requests may be counted by the
// process before it.
type process struct{ startedAt, readyAt time.Duration }

// metricsCheck compares the metrics of all relays with the log.
type metricsCheck struct {
	history    *history
	accounts   map[int]*account
	processes  map[int]map[int]*process // by relay and its number
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
				p.readyAt = e.At
			}
		case MetricsRead:
			c.check(e)
		default:
		}
	}
}

// start adds a new process.
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
