package checker

import (
	"cmp"
	"slices"

	"frostlink/internal/settings"
)

// checkRedeliveries checks calls under ids of relays' own making: the class's allowance holds over all ids of a message.
func (j *history) checkRedeliveries() {
	by := map[int][]*request{} // message
	any := false
	for _, c := range j.requests {
		by[c.message] = append(by[c.message], c)
		any = any || c.redelivery
	}
	if !any {
		return
	}
	for _, all := range by {
		var calls []*attempt
		of := map[*attempt]*request{}
		for _, c := range all {
			for _, a := range c.attempts {
				calls = append(calls, a)
				of[a] = c
			}
		}
		slices.SortStableFunc(calls, func(a, b *attempt) int { return cmp.Compare(a.lastByte, b.lastByte) })
		j.checkLineage(calls, of)
	}
}

// checkLineage checks the calls of one message, in their order.
func (j *history) checkLineage(calls []*attempt, of map[*attempt]*request) {
	var mayRun, delivered *attempt
	for _, a := range calls {
		c := of[a]
		k := &j.Settings.Categories[c.class]
		if c.redelivery {
			switch {
			case delivered != nil && k.Idempotency != "retryable":
				j.report(Twice, a.lastByte, c.id, a.relay, c.destination, "%s resent, though it was delivered at %s", k.Name, formatTime(delivered.endedAt))
				return
			case mayRun != nil && k.Idempotency == "fragile",
				mayRun != nil && k.Idempotency == "dedup" && a.lastByte > mayRun.lastByte+settings.Seconds(k.MemorySpanS)+socketSlack:
				j.report(Twice, a.lastByte, c.id, a.relay, c.destination, "%s resent %s after a call (%s) that may have run", k.Name,
					formatTime(a.lastByte-mayRun.lastByte), mayRun.outcome)
				return
			}
			for _, b := range calls {
				if b != a && b.lastByte < a.lastByte && (b.endedAt < 0 || b.endedAt > a.lastByte+socketSlack) && !j.Settings.Limits.SecondCopies {
					j.report(SecondCopy, a.lastByte, c.id, a.relay, c.destination, "resent to %s while a call to %s was out", a.endpoint, b.endpoint)
					return
				}
			}
		}
		if a.outcome == OK && delivered == nil {
			delivered = a
		}
		if a.mayHaveExecuted() && mayRun == nil {
			mayRun = a
		}
	}
}
