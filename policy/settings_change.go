package policy

import (
	"cmp"
	"math"
	"slices"
)

// MergeClasses returns the class table that results from a change of settings. Existing classes
// keep their numbers and get their new terms, new classes are appended, and classes that the
// settings no longer contain are marked as retired. Thus the class number of a message stays valid.
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

// applySettings replaces the settings. Accepted messages keep the terms of their class, but
// stricter idempotency in the new settings applies to them as well. A repeat that was decided on
// under milder terms is cancelled if it has not been sent yet, and then decided on again.
func (d *Dispatcher) applySettings(s Settings) {
	d.settings = s
	d.updateMeanPriorityWeight()
	d.growClassTables()
	d.tightenTerms()
	for _, q := range d.queues {
		if q.sendRate > 0 {
			q.sendRate = math.Min(math.Max(q.sendRate, minFractionOfEvenShare*d.evenShare(q)), q.listedRate)
		}
	}
	if !s.WatchEndpoints {
		d.watchAt = never
	}
}

// tightenTerms applies stricter idempotency in the settings to the messages that were accepted under milder terms.
func (d *Dispatcher) tightenTerms() {
	var tightened []*message
	for _, m := range d.messages {
		before := m.terms
		m.terms = before.stricterTerms(&d.settings.Classes[m.Class])
		if *m.terms != *before {
			tightened = append(tightened, m)
		}
	}
	// Sorted, so that the same events give the same actions.
	slices.SortFunc(tightened, func(a, b *message) int { return cmp.Compare(a.seq, b.seq) })
	for _, m := range tightened {
		d.cancelRepeatBeforeSend(m)
	}
}

// stricterTerms returns the terms of class c with the idempotency tightened, so that they allow an
// attempt only if both c and the current terms now allow it. If the class was Idempotent and is now
// IdempotentByKey, the result is NotIdempotent: the message may have been accepted without an
// idempotency key, so it is sent again only if no earlier attempt may have executed.
func (c *Class) stricterTerms(now *Class) *Class {
	keyTermsAsStrict := c.Idempotency != IdempotentByKey || now.KeyTTL >= c.KeyTTL && (c.KeyPerZone || !now.KeyPerZone)
	if now.Retired || now.Idempotency == c.Idempotency && keyTermsAsStrict {
		return c
	}
	both := *c
	switch {
	case c.Idempotency == NotIdempotent || now.Idempotency == NotIdempotent,
		c.Idempotency == Idempotent && now.Idempotency == IdempotentByKey:
		both.Idempotency = NotIdempotent
	case now.Idempotency == IdempotentByKey: // c is IdempotentByKey too
		both.KeyTTL, both.KeyPerZone = min(c.KeyTTL, now.KeyTTL), c.KeyPerZone || now.KeyPerZone
	}
	return &both
}

// growClassTables extends all slices that are indexed by class number to the current number of
// classes.
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
			grow(&a.call.endpoint.classFailures) // the endpoint may no longer be listed
			grow(&a.call.endpoint.queue.latency.byClass)
		}
	}
}
