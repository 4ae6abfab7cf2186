package destination

import (
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// OverloadSlack is the number of attempts per OverloadWindow that a cold destination tolerates in addition to OverloadFactor times its
// capacity before it goes down. The overload rule allows "a little slack for chance".
const OverloadSlack = 3

// overloadState records the attempts that arrived at a cold destination, and whether they overloaded it.
type overloadState struct {
	arrivals  []time.Duration // times of arrival within the last OverloadWindow, while the destination is cold
	downUntil time.Duration   // 0: not down by overload
	count     int             // how often the destination went down by overload
}

func (o *overloadState) nextDue() time.Duration {
	if o.downUntil > 0 {
		return o.downUntil
	}
	return never
}

// endsBy reports whether the destination is down by overload and that outage is over at the given time.
func (o *overloadState) endsBy(now time.Duration) bool { return o.downUntil > 0 && o.downUntil <= now }

// Overloads returns how often the destination went down by overload.
func (m *Model) Overloads() int { return m.overload.count }

// recordArrival counts an attempt that arrives at a cold destination. The destination goes down if more attempts arrive within the
// OverloadWindow than its present capacity times OverloadFactor allows, plus OverloadSlack.
func (m *Model) recordArrival() {
	if !m.Cold() {
		m.overload.arrivals = nil
		return
	}
	rules := &m.scenario.Rules
	arrivals := append(m.overload.arrivals, m.now)
	for arrivals[0] < m.now-scenario.Seconds(rules.OverloadWindow) {
		arrivals = arrivals[1:]
	}
	m.overload.arrivals = arrivals
	if budget := rules.OverloadFactor*m.Capacity()*rules.OverloadWindow + OverloadSlack; float64(len(arrivals)) > budget {
		m.goDown()
	}
}

// goDown takes all endpoints down by overload.
func (m *Model) goDown() {
	m.overload.arrivals = nil
	m.overload.count++
	m.overload.downUntil = m.now + scenario.Seconds(m.spec.OverloadDowntime)
	for i, e := range m.endpoints {
		if !e.removed {
			m.loseAttempts(e)
			m.changeMode(i, ModeRefusing)
		}
	}
}

// recoverFromOverload ends an endpoint's outage by overload. The endpoint begins a new slow start.
func (m *Model) recoverFromOverload(number int) {
	if e := m.endpoints[number]; !e.removed && e.mode == ModeRefusing {
		e.cold, e.warmFrom = true, m.now
		m.changeMode(number, ModeServing)
	}
}

// changeMode changes an endpoint's mode, and adds the action that reports it.
func (m *Model) changeMode(number int, mode Mode) {
	m.endpoints[number].mode = mode
	m.addAction(Action{ModeChange: &ModeChange{Endpoint: number, Mode: mode, At: m.now}})
}
