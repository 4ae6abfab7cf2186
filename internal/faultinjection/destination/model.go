package destination

import (
	"math"
	"math/rand/v2"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// never is the due time of an event that is not scheduled.
const never = time.Duration(math.MaxInt64)

// AllEndpoints can be passed in place of an endpoint's number to address all endpoints of the destination.
const AllEndpoints = -1

// Model is the model of one destination.
type Model struct {
	scenario  *scenario.Scenario
	spec      *scenario.Destination
	now       time.Duration
	endpoints []*endpoint
	limit     rateLimit // nil: unlimited
	keys      keyMemory
	overload  overloadState
	reports   loadReports
	actions   []Action // produced since takeActions was last called
}

// New returns the model of a scenario's destination, all of whose endpoints are healthy and warm.
func New(s *scenario.Scenario, number int, streams scenario.RandomStreams) *Model {
	spec := &s.Destinations[number]
	m := &Model{
		scenario: s,
		spec:     spec,
		limit:    newRateLimit(spec),
		keys:     keyMemory{},
		reports:  newLoadReports(s.LoadReport, streams.Stream("report", number)),
	}
	for i := range spec.Endpoints {
		m.addEndpoint(streams.Stream("pause", number, i))
	}
	return m
}

// AddEndpoint adds an endpoint, and returns its number. The endpoint's pauses are drawn from the given random stream.
func (m *Model) AddEndpoint(now time.Duration, pauses *rand.Rand) (number int, actions []Action) {
	m.advance(now)
	return m.addEndpoint(pauses), m.takeActions()
}

func (m *Model) addEndpoint(pauses *rand.Rand) (number int) {
	m.endpoints = append(m.endpoints, newEndpoint(m.spec, m.now, pauses))
	return len(m.endpoints) - 1
}

// Mode returns the mode of an endpoint.
func (m *Model) Mode(endpoint int) Mode { return m.endpoints[endpoint].mode }

// Connect counts a new connection to an endpoint. It returns true if the connection exceeds the endpoint's limit.
func (m *Model) Connect(endpoint int) (overLimit bool) {
	e := m.endpoints[endpoint]
	e.connections++
	return m.spec.MaxConnections > 0 && e.connections > m.spec.MaxConnections
}

// Disconnect counts the end of a connection.
func (m *Model) Disconnect(endpoint int) { m.endpoints[endpoint].connections-- }

// Capacity returns how many attempts per second the destination can execute at present.
func (m *Model) Capacity() float64 {
	speed := 0.0
	for _, e := range m.endpoints {
		if e.acceptsAttempts() && e.mode.executes() {
			speed += e.speed(m.now)
		}
	}
	return speed * float64(m.spec.Concurrency) / m.scenario.MeanServiceTime(m.spec)
}

// Cold reports whether every endpoint that accepts attempts has recovered from an outage and is still in slow start.
func (m *Model) Cold() bool {
	found := false
	for _, e := range m.endpoints {
		if !e.acceptsAttempts() {
			continue
		}
		if !e.mode.executes() || e.capacityFraction(m.now) >= 1 {
			return false
		}
		found = true
	}
	return found
}

func (m *Model) addAction(action Action) { m.actions = append(m.actions, action) }

// addCompletion completes an attempt now.
func (m *Model) addCompletion(c Completion) {
	c.At, c.LoadReport = m.now, m.reports.visible
	m.addAction(Action{Completion: &c})
}

// takeActions returns the actions produced since its last call. It first completes the attempts that are due now, such as those with
// a service time of 0.
func (m *Model) takeActions() []Action {
	m.advance(m.now)
	actions := m.actions
	m.actions = nil
	return actions
}
