package checker

import "testing"

func TestJudge_ReportsAttemptsOfNoRequest(t *testing.T) {
	judgeEachViolation(t, map[string]violationCase{
		"an attempt at an endpoint of another destination": {WrongDestination, func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "d", Rejected, ms, toDestination(1))
			l.attempt(3*sec, "a", "h", OK, ms)
		}},
		"an attempt of no request": {UnknownRequest, func(l *logBuilder) { l.attempt(2*sec, "zz", "h", Rejected, ms) }},
	})
}
