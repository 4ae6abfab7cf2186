package policy

import (
	"math"
)

// applySettings takes over new settings. Messages under way keep the terms of their class; where its effect is
// stricter now, both hold.
func (d *Dispatcher) applySettings(s Settings) {
	d.settings = s
	d.updateMeanPriorityWeight()
	d.growClassTables()
	for _, m := range d.messages {
		m.class = m.class.stricter(&d.settings.Classes[m.Class])
	}
	for _, q := range d.queues {
		if q.sendRate > 0 {
			q.sendRate = math.Min(math.Max(q.sendRate, minShareOfEven*d.evenShare(q)), q.listedRate)
		}
	}
	if !s.WatchEndpoints {
		d.watchAt = never
	}
}

// growClassTables makes room for the classes that new settings brought, wherever something is kept by class.
func (d *Dispatcher) growClassTables() {
	grow := func(list *[]float64) {
		if more := len(d.settings.Classes) - len(*list); more > 0 {
			*list = append(*list, make([]float64, more)...)
		}
	}
	for _, p := range d.kindLatency {
		grow(&p.classLatency)
	}
	for _, q := range d.queues {
		grow(&q.classLatency)
	}
	for _, ep := range d.endpoints {
		grow(&ep.classFailures)
	}
	for _, m := range d.messages {
		for _, a := range m.attempts {
			grow(&a.call.endpoint.classFailures)      // also of an endpoint that has left the list
			grow(&a.call.endpoint.queue.classLatency) // and of its queue
		}
	}
}
