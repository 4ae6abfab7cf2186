package checker

import (
	"frostlink/internal/settings"
)

// checkIdempotency checks that no effect can have happened twice, and that no two copies were out at once.
func (j *history) checkIdempotency(c *request) {
	k := &j.Settings.Categories[c.class]
	var mayRun *attempt // the first
	broken := false
	for i, a := range c.attempts {
		for _, b := range c.attempts[:i] {
			if !j.Settings.Limits.SecondCopies && (b.endedAt < 0 || b.endedAt > a.lastByte+socketSlack) && b.lastByte <= a.lastByte {
				j.report(SecondCopy, a.lastByte, c.id, c.relay, c.destination, "call to %s while one to %s was out", a.endpoint, b.endpoint)
				return
			}
		}
		if mayRun != nil && !broken {
			switch k.Idempotency {
			case "fragile":
				broken = true
				j.report(Twice, a.lastByte, c.id, a.relay, c.destination, "%s sent to %s again, though the call to %s at %s (%s) may have run",
					k.Name, a.endpoint, mayRun.endpoint, formatTime(mayRun.lastByte), mayRun.outcome)
			case "dedup":
				if limit := mayRun.lastByte + settings.Seconds(k.MemorySpanS) + socketSlack; a.lastByte > limit {
					broken = true
					j.report(Twice, a.lastByte, c.id, a.relay, c.destination,
						"%s sent to %s again %s after the call at %s (%s) that may have run; its key is kept for %v s", k.Name,
						a.endpoint, formatTime(a.lastByte-mayRun.lastByte), formatTime(mayRun.lastByte), mayRun.outcome, k.MemorySpanS)
				}
			}
		}
		if mayRun == nil && a.mayHaveExecuted() {
			mayRun = a
		}
	}
	if mayRun != nil && k.Idempotency == "fragile" && !broken {
		for _, n := range c.notices {
			if n.State == Deferred && (c.deliveredAt < 0 || c.deliveredAt > n.At) {
				broken = true
				j.report(Twice, n.At, c.id, c.relay, c.destination, "%s handed back as safe to repeat, though the call at %s (%s) may have run",
					k.Name, formatTime(mayRun.lastByte), mayRun.outcome)
				break
			}
		}
	}
	if c.effects > 1 && k.Idempotency != "retryable" && !broken {
		j.report(Twice, c.attempts[len(c.attempts)-1].lastByte, c.id, c.relay, c.destination, "%s had its effect %d times", k.Name, c.effects)
	}
}
