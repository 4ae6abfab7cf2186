package checker

import "testing"

func TestJudge_HoldsRedeliveriesToTheirClass(t *testing.T) {
	for name, c := range map[string]struct {
		rule  Rule // empty: no violation
		build func(l *logBuilder)
	}{
		"idempotent, may have been executed": {"", func(l *logBuilder) { l.submitAndFail("a", status, Reset); l.redeliver(20*sec, "r", status, OK) }},
		"a payment that was not executed":    {"", func(l *logBuilder) { l.submitAndFail("a", payment, Rejected); l.redeliver(20*sec, "r", payment, OK) }},
		"a payment within its key's TTL":     {"", func(l *logBuilder) { l.submitAndFail("a", payment, Reset); l.redeliver(7*sec, "r", payment, OK) }},
		"a payment past its key's TTL":       {ExecutedTwice, func(l *logBuilder) { l.submitAndFail("a", payment, Reset); l.redeliver(7100*ms, "r", payment, OK) }},
		"a payment past its key's TTL, over two redeliveries": {ExecutedTwice, func(l *logBuilder) {
			l.submitAndFail("a", payment, Rejected)
			l.redeliver(20*sec, "r", payment, Abandoned)
			l.redeliver(30*sec, "s", payment, OK)
		}},
		"not idempotent, may have been executed": {ExecutedTwice, func(l *logBuilder) { l.submitAndFail("a", order, Error); l.redeliver(4*sec, "r", order, OK) }},
		"not idempotent, not executed":           {"", func(l *logBuilder) { l.submitAndFail("a", order, Rejected); l.redeliver(20*sec, "r", order, OK) }},
		"a payment that was delivered": {ExecutedTwice, func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.attempt(2*sec, "a", "h", OK, ms)
			l.redeliver(3*sec, "r", payment, OK)
		}},
		"a payment delivered after it was given up, within its key's TTL": {"", func(l *logBuilder) {
			l.submitAndDeliverLate("a", payment)
			l.redeliver(6*sec, "r", payment, OK)
		}},
		"a payment delivered after it was given up, past its key's TTL": {ExecutedTwice, func(l *logBuilder) {
			l.submitAndDeliverLate("a", payment)
			l.redeliver(7100*ms, "r", payment, OK)
		}},
		"not idempotent, delivered after it was given up": {ExecutedTwice, func(l *logBuilder) {
			l.submitAndDeliverLate("a", order)
			l.redeliver(6*sec, "r", order, OK)
		}},
		"a payment executed twice within its key's TTL": {ExecutedTwice, func(l *logBuilder) {
			l.submitAndFail("a", payment, Reset)
			l.redeliver(6*sec, "r", payment, OK)
			l.execute(1, "a")
			l.execute(1, "r")
		}},
		"a payment executed once, its redelivery dropped by its key": {"", func(l *logBuilder) {
			l.submitAndFail("a", payment, Reset)
			l.redeliver(6*sec, "r", payment, OK)
			l.execute(1, "a")
		}},
		"a status executed twice": {"", func(l *logBuilder) {
			l.submitAndFail("a", status, Reset)
			l.redeliver(6*sec, "r", status, OK)
			l.execute(1, "a")
			l.execute(1, "r")
		}},
		"idempotent, delivered": {"", func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", OK, ms)
			l.redeliver(3*sec, "r", status, OK)
		}},
		"while the first attempt is in flight": {ConcurrentAttempts, func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", OK, 2*sec)
			l.redeliver(3*sec, "r", status, OK)
		}},
		"before a Retry-After is over": {RetryAfterIgnored, func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", RetryAfter, ms, retryAfter(sec))
			l.notify(2100*ms, "a", Deferred)
			l.redeliver(2900*ms, "r", status, OK)
		}},
		"to a draining endpoint": {DrainBroken, func(l *logBuilder) {
			l.notifyEndpoint(Draining)
			l.submit(sec, "a", status)
			l.notify(1500*ms, "a", Deferred)
			l.redeliver(9*sec, "r", status, OK)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			if report := judge(c.build); !violatesOnly(report, c.rule) {
				t.Errorf("want only a violation of %q, got %+v", c.rule, report.Violations)
			}
		})
	}
}
