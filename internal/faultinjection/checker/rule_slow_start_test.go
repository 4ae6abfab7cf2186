package checker

import "testing"

func TestJudge_ReportsOverloadedRecovery(t *testing.T) {
	judgeEachViolation(t, map[string]violationCase{
		"a cold destination is overloaded": {DestinationOverloaded, func(l *logBuilder) { l.outage("shut"); l.burst(1500*ms, 1, 0); l.burst(3100*ms, 20, 0) }},
		"overloaded after refused connections": {DestinationOverloaded, func(l *logBuilder) {
			l.outage("refuse")
			l.submit(sec, "w", status)
			l.burst(3100*ms, 20, 0)
			l.attempt(3600*ms, "w", "h", OK, ms)
		}},
		"overloaded by health checks": {DestinationOverloaded, func(l *logBuilder) { l.outage("shut"); l.burst(1500*ms, 1, 0); l.probe(3100*ms, 20) }},
	})
}

func TestJudge_AllowsAttemptsWithinRecoveryBudget(t *testing.T) {
	judgeWithoutViolations(t, map[string]func(l *logBuilder){
		"as many attempts as a cold destination has capacity for": func(l *logBuilder) { l.outage("shut"); l.burst(1500*ms, 1, 0); l.burst(3*sec, 18, 0) },
		"overloaded by a relay that had not observed the outage":  func(l *logBuilder) { l.outage("shut"); l.burst(3100*ms, 40, 0) },
		"over a third of the attempts by a relay that had not observed it": func(l *logBuilder) {
			l.outage("shut")
			l.burst(1500*ms, 1, 0)
			l.burst(3100*ms, 9, 1)
			l.burst(3100*ms, 12, 0)
		},
		"a burst at a warm destination": func(l *logBuilder) { l.outage("shut"); l.burst(1500*ms, 1, 0); l.burst(14*sec, 70, 0) },
		"connections refused, for a request that was briefly in flight": func(l *logBuilder) {
			l.outage("refuse")
			l.submit(2600*ms, "w", status)
			l.burst(3100*ms, 40, 0)
			l.attempt(5*sec, "w", "h", OK, ms)
		},
	})
}
