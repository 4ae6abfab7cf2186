package admin

import (
	"slices"
	"sync/atomic"
)

// Metrics holds the counters. Its methods are for one goroutine, the relay's event loop, but for Snapshot and JSON, which any
// goroutine may call: they return what was published last.
type Metrics struct {
	// AttemptsSent counts attempts written completely to endpoints. The goroutines that send attempts add to it.
	AttemptsSent atomic.Int64

	current    Snapshot
	classIndex map[string]int // class name -> index in current.Classes
	published  atomic.Pointer[Snapshot]
}

// NewMetrics returns metrics, all 0, for the classes that the relay starts with.
func NewMetrics(classes []string) *Metrics {
	m := &Metrics{classIndex: map[string]int{}}
	for _, name := range classes {
		m.class(name)
	}
	m.Publish(Gauges{})
	return m
}

// class returns the index of a class, which it adds where it is new. Classes are never removed: there are as many as settings have
// ever named.
func (m *Metrics) class(name string) int {
	if i, ok := m.classIndex[name]; ok {
		return i
	}
	i := len(m.current.Classes)
	m.classIndex[name] = i
	// Clipped, so that the list of a published snapshot is not written to.
	m.current.Classes = append(slices.Clip(m.current.Classes), name)
	for outcome := range m.current.Completed {
		m.current.Completed[outcome] = append(m.current.Completed[outcome], 0)
	}
	return i
}

// AddClass shows a class from the next Publish on, even while nothing is counted under it.
func (m *Metrics) AddClass(class string) { m.class(class) }

// Accepted counts a request as in flight: one accepted from a client, or taken over from an earlier process.
func (m *Metrics) Accepted() { m.current.InFlight++ }

// Completed counts the outcome of a request. accepted reports whether Accepted counted the request before.
func (m *Metrics) Completed(class string, outcome Outcome, accepted bool) {
	i := m.class(class)
	m.current.Completed[outcome][i]++
	if accepted {
		m.current.InFlight--
	}
}

// Withdrawn undoes Accepted for a request that ended with no outcome, as one that its client has withdrawn.
func (m *Metrics) Withdrawn() { m.current.InFlight-- }

// HandedOver sets the requests in flight to 0: the successor counts them. It publishes nothing. Readers of this process, which ends
// in a moment, go on seeing the metrics as of the hand-over, because "nothing in flight" would be wrong about the relay until the
// successor answers.
func (m *Metrics) HandedOver() { m.current.InFlight = 0 }

// Reconfigured counts a configuration that was applied (ok) or rejected.
func (m *Metrics) Reconfigured(ok bool) {
	if ok {
		m.current.ReconfigOK++
	} else {
		m.current.ReconfigFailed++
	}
}

// Gauges are the metrics that are read off at each Publish, not counted.
type Gauges struct{ EndpointsListed, EndpointsUnhealthy int }

// Publish makes the counters, as they are now, what readers see.
func (m *Metrics) Publish(g Gauges) {
	s := m.current
	s.EndpointsListed, s.EndpointsUnhealthy = g.EndpointsListed, g.EndpointsUnhealthy
	for outcome := range s.Completed {
		s.Completed[outcome] = slices.Clone(m.current.Completed[outcome])
	}
	m.published.Store(&s)
}

// Snapshot returns what was published last. It is not to be changed.
func (m *Metrics) Snapshot() *Snapshot { return m.published.Load() }

// JSON returns what was published last, in the form of GET /status/metrics.
func (m *Metrics) JSON() ([]byte, error) { return m.Snapshot().json(m.AttemptsSent.Load()) }
