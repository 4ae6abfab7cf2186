package checker

import (
	"frostlink/internal/settings"
)

// checkOutcome checks that a message that was taken on has exactly one end, in time.
func (j *history) checkOutcome(c *request) {
	if !c.accepted {
		return
	}
	due := c.deadline + j.unreadFor(c) + settings.Seconds(j.Settings.Rules.AnswerSlackS)
	for until, away := j.excused(c.relay, due); away; until, away = j.excused(c.relay, due) {
		if until == never {
			due = never
			break
		}
		due = until + 1
	}
	end := c.completedAt()
	switch {
	case c.machineLostAt >= 0 && (end < 0 || end >= c.machineLostAt):
		return // its relay's machine was lost, and it with that
	case end < 0 && due < j.end:
		j.report(NoEnd, due, c.id, c.relay, c.destination, "taken on at %s, no end by %s", formatTime(c.answeredAt), formatTime(due))
		return
	case end > max(due, c.deadline+lostAfter+socketSlack):
		j.report(NoEnd, end, c.id, c.relay, c.destination, "ended at %s, %s after its time was up: that is no end", formatTime(end), formatTime(end-c.deadline))
	case end > due:
		j.report(LateEnd, end, c.id, c.relay, c.destination, "ended at %s, due by %s", formatTime(end), formatTime(due))
	}
	for _, n := range c.notices {
		if n.State != c.notices[0].State {
			j.report(TwoEnds, n.At, c.id, c.relay, c.destination, "notices of %s and of %s", c.notices[0].State, n.State)
			return
		}
	}
	if len(c.notices) == 0 {
		return
	}
	told := c.notices[0].At
	// An answer that crosses the relay's giving up, or that a process did not live to note, is no second end.
	if c.deliveredAt >= 0 && (told > c.deliveredAt+crossingTime || c.deliveredAt > told+crossingTime) {
		if _, away := j.excused(c.relay, c.deliveredAt+crossingTime); !away && !j.couldNotRecord(c.relay, c.deliveredAt) {
			j.report(TwoEnds, max(told, c.deliveredAt), c.id, c.relay, c.destination, "delivered at %s, and noticed as %s at %s",
				formatTime(c.deliveredAt), c.notices[0].State, formatTime(told))
			return
		}
	}
	for _, a := range c.attempts {
		if a.firstByte > told+crossingTime && a.outcome != OK {
			j.report(TwoEnds, a.firstByte, c.id, c.relay, c.destination, "sent to %s at %s, after its end at %s", a.endpoint,
				formatTime(a.firstByte), formatTime(told))
			return
		}
	}
}
