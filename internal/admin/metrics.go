package admin

import (
	"slices"
	"sync/atomic"
)

// Metrics contains the counters. Only one goroutine, the relay's event loop, may call its methods, except Snapshot and JSON: these
// return the values that were published last, and any goroutine may call them.
type Metrics struct {
	// AttemptsSent counts attempts written completely to endpoints. The goroutines that send attempts increment it.
	AttemptsSent atomic.Int64

	current    Snapshot
	classIndex map[string]int // class name -> index in current.Classes
	published  atomic.Pointer[Snapshot]
}

// NewMetrics returns metrics with all values 0, for the classes with which the relay starts.
func NewMetrics(classes []string) *Metrics {
	m := &Metrics{classIndex: map[string]int{}}
	for _, name := range classes {
		m.class(name)
	}
	m.Publish(Gauges{})
	return m
}

// class returns the index of a class, and adds the class if it is new. Classes are never removed; their number is bounded by the
// classes that the settings have ever named.
func (m *Metrics) class(name string) int {
	if i, ok := m.classIndex[name]; ok {
		return i
	}
	i := len(m.current.Classes)
	m.classIndex[name] = i
	// Clip makes append copy the slice, so that the slice of a published snapshot is not written to.
	m.current.Classes = append(slices.Clip(m.current.Classes), name)
	for outcome := range m.current.Completed {
		m.current.Completed[outcome] = append(m.current.Completed[outcome], 0)
	}
	return i
}

// AddClass adds a class, so that it is shown from the next Publish on even if no request of the class was counted.
func (m *Metrics) AddClass(class string) { m.class(class) }

// Accepted counts a request as in flight. The request was accepted from a client, or recovered from an earlier process.
func (m *Metrics) Accepted() { m.current.InFlight++ }

// Completed counts the outcome of a request. accepted is set if the request was counted by Accepted before.
func (m *Metrics) Completed(class string, outcome Outcome, accepted bool) {
	i := m.class(class)
	m.current.Completed[outcome][i]++
	if accepted {
		m.current.InFlight--
	}
}

// Reopened undoes Completed for a request whose outcome was refuted.
func (m *Metrics) Reopened(class string, outcome Outcome, accepted bool) {
	m.current.Completed[outcome][m.class(class)]--
	if accepted {
		m.current.InFlight++
	}
}

// Withdrawn undoes Accepted for a request that ended without an outcome, such as a request that its client has withdrawn.
func (m *Metrics) Withdrawn() { m.current.InFlight-- }

// HandedOver sets the requests in flight to 0, because the successor counts them. It does not publish the change: this process ends
// shortly after the hand-over, and until then its readers see the metrics from the time of the hand-over. A value of 0 would be wrong
// for the relay until the successor answers readers.
func (m *Metrics) HandedOver() { m.current.InFlight = 0 }

// Reconfigured counts a configuration that was applied (ok) or rejected.
func (m *Metrics) Reconfigured(ok bool) {
	if ok {
		m.current.ReconfigOK++
	} else {
		m.current.ReconfigFailed++
	}
}

// Gauges are the metrics that are not counted but passed to each Publish.
type Gauges struct{ EndpointsListed, EndpointsUnhealthy int }

// Publish publishes a copy of the current counters, together with the gauges.
func (m *Metrics) Publish(g Gauges) {
	s := m.current
	s.EndpointsListed, s.EndpointsUnhealthy = g.EndpointsListed, g.EndpointsUnhealthy
	for outcome := range s.Completed {
		s.Completed[outcome] = slices.Clone(m.current.Completed[outcome])
	}
	m.published.Store(&s)
}

// Snapshot returns the values that were published last. Callers must not modify them.
func (m *Metrics) Snapshot() *Snapshot { return m.published.Load() }

// JSON returns the values that were published last, as the response body of GET /status/metrics.
func (m *Metrics) JSON() ([]byte, error) { return m.Snapshot().json(m.AttemptsSent.Load()) }
