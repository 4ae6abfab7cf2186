package checker

import (
	"time"

	"frostlink/internal/settings"
)

// checkOrder checks that messages with one key went one at a time, in the order in which their relay took them on.
func (j *history) checkOrder() {
	type turn struct {
		relay int
		item  string
	}
	lines := map[turn][]*request{}
	for _, c := range j.requests {
		if c.accepted && c.orderKey != "" && j.Settings.Categories[c.class].FifoByKey {
			key := turn{c.relay, c.orderKey}
			lines[key] = append(lines[key], c)
		}
	}
	pause := settings.Seconds(j.Settings.Rules.OrderPauseS)
	for _, line := range lines {
		for i, c := range line {
			if broken := j.overtaken(line[:i], c, pause); broken != nil {
				j.report(OrderBroken, c.attempts[0].firstByte, c.id, c.relay, c.destination, "sent while %s, which came before it, was not over",
					broken.id)
			}
		}
	}
}

// overtaken finds a message that came before another with its key, and was neither over nor at rest when that went.
func (j *history) overtaken(before []*request, c *request, pause time.Duration) *request {
	if len(c.attempts) == 0 {
		return nil
	}
	sent := c.attempts[0].firstByte
	for _, b := range before {
		// Only where one answer came before the other request is it known which was taken on first.
		if b.answeredAt >= c.submittedAt || j.restarted(b.relay, b.answeredAt, sent) {
			continue
		}
		end := b.completedAt()
		if end < 0 || end > sent+crossingTime || b.deliveredAt >= 0 && len(b.notices) == 0 && end > sent {
			return b
		}
		for _, a := range b.attempts {
			if a.endedAt < 0 || a.endedAt > sent {
				return b
			}
			if unknown := a.outcome == Reset || a.outcome == Left || a.outcome == Cut; unknown && sent < a.endedAt+pause-socketSlack {
				return b
			}
		}
	}
	return nil
}
