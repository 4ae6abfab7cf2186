package checker

import "testing"

func TestJudge_ReportsIgnoredRetryAfter(t *testing.T) {
	judgeEachViolation(t, map[string]violationCase{
		"an attempt before the Retry-After is over": {RetryAfterIgnored, func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", RetryAfter, ms, retryAfter(sec))
			l.attempt(2900*ms, "a", "g", OK, ms)
		}},
		"an attempt of another request": {RetryAfterIgnored, func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.submit(sec, "b", status)
			l.attempt(2*sec, "a", "h", RetryAfter, ms, retryAfter(sec))
			l.attempt(2900*ms, "b", "h", OK, ms)
			l.attempt(4*sec, "a", "h", OK, ms)
		}},
	})
}

func TestJudge_AllowsAttemptsOutsideRetryAfter(t *testing.T) {
	judgeWithoutViolations(t, map[string]func(l *logBuilder){
		"an attempt after the Retry-After": func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", RetryAfter, ms, retryAfter(sec))
			l.attempt(3002*ms, "a", "h", OK, ms)
		},
		"an attempt that crosses with the response": func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.submit(sec, "b", status)
			l.attempt(2*sec, "a", "h", RetryAfter, ms, retryAfter(sec))
			l.attempt(2090*ms, "b", "h", OK, ms)
			l.attempt(4*sec, "a", "h", OK, ms)
		},
		"a restart ends the hold": func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", RetryAfter, ms, retryAfter(8*sec))
			l.crash(2200 * ms)
			l.attempt(4*sec, "a", "h", OK, ms)
		},
		"an attempt at another destination": func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", RetryAfter, ms, retryAfter(sec))
			l.submitTo(sec, "b", 1)
			l.attempt(2500*ms, "b", "d", OK, ms, toDestination(1))
			l.attempt(4*sec, "a", "h", OK, ms)
		},
	})
}
