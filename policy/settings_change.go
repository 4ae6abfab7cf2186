package policy

import (
	"math"
)

// retune takes over new settings. Messages under way keep the terms of their class; where its effect is
// stricter now, both hold.
func (d *Dispatcher) retune(s Settings) {
	d.s = s
	d.weighClasses()
	d.widen()
	for _, m := range d.messages {
		m.class = m.class.stricter(&d.s.Classes[m.Class])
	}
	for _, q := range d.queues {
		if q.pace > 0 {
			q.pace = math.Min(math.Max(q.pace, paceFloor*d.even(q)), q.weight)
		}
	}
	if !s.WatchEndpoints {
		d.resub = never
	}
}

// widen makes room for the classes that new settings brought, wherever something is kept by class.
func (d *Dispatcher) widen() {
	grow := func(list *[]float64) {
		if more := len(d.s.Classes) - len(*list); more > 0 {
			*list = append(*list, make([]float64, more)...)
		}
	}
	for _, p := range d.pools {
		grow(&p.class)
	}
	for _, q := range d.queues {
		grow(&q.class)
	}
	for _, ep := range d.endpoints {
		grow(&ep.strikes)
	}
	for _, m := range d.messages {
		for _, a := range m.attempts {
			grow(&a.call.ep.strikes) // also of an endpoint that has left the list
			grow(&a.call.ep.q.class) // and of its queue
		}
	}
}
