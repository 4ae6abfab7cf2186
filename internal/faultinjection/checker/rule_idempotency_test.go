package checker

import "testing"

func TestJudge_ReportsUnsafeRepeats(t *testing.T) {
	judgeEachViolation(t, map[string]violationCase{
		"a payment repeated past its key's TTL": {ExecutedTwice, func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.attempt(2*sec, "a", "h", Abandoned, sec)
			l.attempt(7100*ms, "a", "h", OK, ms)
		}},
		"a payment repeated past its key's TTL, after a restart": {ExecutedTwice, func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.attempt(2*sec, "a", "h", Interrupted, ms)
			l.restart(3 * sec)
			l.attempt(8*sec, "a", "h", OK, ms)
		}},
		"a request that must not be repeated, repeated after an error": {ExecutedTwice, func(l *logBuilder) {
			l.submit(sec, "a", order)
			l.attempt(2*sec, "a", "h", Error, ms)
			l.attempt(3*sec, "a", "h", OK, ms)
		}},
		"a request that must not be repeated, returned though it may have been executed": {ExecutedTwice, func(l *logBuilder) {
			l.submit(sec, "a", order)
			l.attempt(2*sec, "a", "h", Reset, ms)
			l.notify(3*sec, "a", Deferred)
		}},
		"a payment executed twice": {ExecutedTwice, func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.attempt(2*sec, "a", "h", OK, ms)
			l.execute(2, "a")
		}},
		"two attempts at once": {ConcurrentAttempts, func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", OK, sec)
			l.attempt(2500*ms, "a", "g", OK, ms)
		}},
	})
}

func TestJudge_AllowsSafeRepeats(t *testing.T) {
	judgeWithoutViolations(t, map[string]func(l *logBuilder){
		"a payment repeated within its key's TTL": func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.attempt(2*sec, "a", "h", Abandoned, sec)
			l.attempt(7040*ms, "a", "h", OK, ms)
		},
		"a payment repeated after a rejection": func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.attempt(2*sec, "a", "h", Rejected, ms)
			l.attempt(9*sec, "a", "h", OK, ms)
		},
		"a payment returned though it may have been executed": func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.attempt(2*sec, "a", "h", Abandoned, sec)
			l.notify(4*sec, "a", Deferred)
		},
		"a request that must not be repeated, repeated after a rejection": func(l *logBuilder) {
			l.submit(sec, "a", order)
			l.attempt(2*sec, "a", "h", Rejected, ms)
			l.attempt(3*sec, "a", "h", OK, ms)
		},
		"a request that must not be repeated, failed though it may have been executed": func(l *logBuilder) {
			l.submit(sec, "a", order)
			l.attempt(2*sec, "a", "h", Reset, ms)
			l.notify(3*sec, "a", Undeliverable)
		},
		"an idempotent request executed twice": func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", OK, ms)
			l.attempt(3*sec, "a", "h", OK, ms)
			l.execute(2, "a")
		},
		"an attempt as the one before ends": func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", Abandoned, sec)
			l.attempt(2960*ms, "a", "h", OK, ms)
		},
	})
}
