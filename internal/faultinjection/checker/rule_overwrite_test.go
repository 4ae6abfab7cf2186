package checker

import "testing"

func TestJudge_ReportsOverwrittenNewerMessages(t *testing.T) {
	deliver := func(l *logBuilder, number int) {
		l.parcelStatus(Submitted, 4*sec, "new", number)
		l.attempt(5*sec, "new", "h", OK, ms)
	}
	redeliver := func(l *logBuilder, outcome string) {
		l.parcelStatus(Redelivered, 6*sec, "r", 3)
		l.attempt(6*sec+ms, "r", "h", outcome, ms)
	}
	for name, c := range map[string]struct {
		rule  Rule // empty: no violation
		build func(l *logBuilder)
	}{
		"a newer one was delivered":                          {Overwritten, func(l *logBuilder) { deliver(l, 7); redeliver(l, OK) }},
		"a newer one was delivered, the outcome is unknown":  {Overwritten, func(l *logBuilder) { deliver(l, 7); redeliver(l, Abandoned) }},
		"a newer one was delivered, the redelivery rejected": {"", func(l *logBuilder) { deliver(l, 7); redeliver(l, Rejected) }},
		"an older one was delivered":                         {"", func(l *logBuilder) { deliver(l, 2); redeliver(l, OK) }},
		"a newer one came while the redelivery was in flight": {"", func(l *logBuilder) {
			l.parcelStatus(Redelivered, 3*sec, "r", 3)
			l.attempt(3*sec+ms, "r", "h", OK, 3*sec)
			deliver(l, 7)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			report := judge(func(l *logBuilder) {
				l.parcelStatus(StoredBefore, 0, "old", 3)
				c.build(l)
			})
			if !violatesOnly(report, c.rule) {
				t.Errorf("want only a violation of %q, got %+v", c.rule, report.Violations)
			}
		})
	}
}
