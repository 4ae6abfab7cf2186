package checker

import "testing"

func TestJudge_ReportsBrokenOrder(t *testing.T) {
	judgeEachViolation(t, map[string]violationCase{
		"attempts out of order": {OrderBroken, func(l *logBuilder) {
			l.submit(sec, "a", ordered)
			l.submit(2*sec, "b", ordered)
			l.attempt(3*sec, "b", "h", OK, ms)
			l.attempt(4*sec, "a", "h", OK, ms)
		}},
		"an attempt while an earlier one is in flight": {OrderBroken, func(l *logBuilder) {
			l.submit(sec, "a", ordered)
			l.submit(2*sec, "b", ordered)
			l.attempt(3*sec, "a", "h", OK, sec)
			l.attempt(3500*ms, "b", "h", OK, ms)
		}},
		"an attempt before the cooldown is over": {OrderBroken, func(l *logBuilder) {
			l.submit(sec, "a", ordered)
			l.submit(2*sec, "b", ordered)
			l.attempt(3*sec, "a", "h", Reset, ms)
			l.notify(3100*ms, "a", Deferred)
			l.attempt(3400*ms, "b", "h", OK, ms)
		}},
	})
}

func TestJudge_AllowsAttemptsInOrder(t *testing.T) {
	judgeWithoutViolations(t, map[string]func(l *logBuilder){
		"attempts in order": func(l *logBuilder) {
			l.submit(sec, "a", ordered)
			l.submit(2*sec, "b", ordered)
			l.attempt(3*sec, "a", "h", OK, sec)
			l.attempt(4001*ms, "b", "h", OK, ms)
		},
		"requests accepted at the same time": func(l *logBuilder) {
			l.submit(sec, "a", ordered)
			l.submit(1003*ms, "b", ordered)
			l.attempt(3*sec, "b", "h", OK, ms)
			l.attempt(4*sec, "a", "h", OK, ms)
		},
		"an attempt after the cooldown": func(l *logBuilder) {
			l.submit(sec, "a", ordered)
			l.submit(2*sec, "b", ordered)
			l.attempt(3*sec, "a", "h", Reset, ms)
			l.notify(3100*ms, "a", Deferred)
			l.attempt(3510*ms, "b", "h", OK, ms)
		},
		"a later request fails first": func(l *logBuilder) {
			l.submit(sec, "a", ordered)
			l.submit(2*sec, "b", ordered)
			l.notify(3*sec, "b", Deferred)
			l.attempt(4*sec, "a", "h", OK, ms)
		},
	})
}
