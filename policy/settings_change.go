package policy

import (
	"math"
	"slices"
)

// MergeClasses returns the table of classes after new settings: a name that was there keeps its
// number and gets its new terms, new names follow, and what the settings no longer have stays as
// retired. So no class is renumbered under a message.
func MergeClasses(table, settings []Class) []Class {
	merged := slices.Clone(table)
	for i := range merged {
		merged[i].Retired = true
	}
	for _, c := range settings {
		if i := slices.IndexFunc(merged, func(known Class) bool { return known.Name == c.Name }); i >= 0 {
			merged[i] = c
		} else {
			merged = append(merged, c)
		}
	}
	return merged
}

// applySettings replaces the settings. Accepted messages keep the terms of their class; where its
// idempotency is stricter now, both hold.
func (d *Dispatcher) applySettings(s Settings) {
	d.settings = s
	d.updateMeanPriorityWeight()
	d.growClassTables()
	for _, m := range d.messages {
		m.terms = m.terms.stricterTerms(&d.settings.Classes[m.Class])
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

// stricterTerms returns the terms of class c under which an attempt must be allowed both by c and
// by what the settings say now. A message of a class that was idempotent has no key for a
// destination to remember: where the class needs one now, the message is repeated only if it never
// executed.
func (c *Class) stricterTerms(now *Class) *Class {
	keyTermsHold := c.Idempotency != IdempotentByKey || now.KeyTTL >= c.KeyTTL && (c.KeyPerZone || !now.KeyPerZone)
	if now.Retired || now.Idempotency == c.Idempotency && keyTermsHold {
		return c
	}
	both := *c
	switch {
	case c.Idempotency == NotIdempotent || now.Idempotency == NotIdempotent,
		c.Idempotency == Idempotent && now.Idempotency == IdempotentByKey:
		both.Idempotency = NotIdempotent
	case now.Idempotency == IdempotentByKey: // and so is c
		both.KeyTTL, both.KeyPerZone = min(c.KeyTTL, now.KeyTTL), c.KeyPerZone || now.KeyPerZone
	}
	return &both
}

// growClassTables makes room for the classes that new settings brought, wherever something is
// stored by class.
func (d *Dispatcher) growClassTables() {
	grow := func(byClass *[]float64) {
		if more := len(d.settings.Classes) - len(*byClass); more > 0 {
			*byClass = append(*byClass, make([]float64, more)...)
		}
	}
	for _, stats := range d.kindLatency {
		grow(&stats.byClass)
	}
	for _, q := range d.queues {
		grow(&q.latency.byClass)
	}
	for _, ep := range d.endpoints {
		grow(&ep.classFailures)
	}
	for _, m := range d.messages {
		for _, a := range m.attempts {
			grow(&a.call.endpoint.classFailures) // also of an endpoint that has left the list
			grow(&a.call.endpoint.queue.latency.byClass)
		}
	}
}
