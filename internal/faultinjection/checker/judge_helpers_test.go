package checker

import (
	"testing"
	"time"
)

// runLength is the length of the runs in tests.
const runLength = 60 * time.Second

// violationCase is a log that violates one rule.
type violationCase struct {
	rule  Rule
	build func(l *logBuilder)
}

// judgeEachViolation checks that exactly one violation is reported for each log, and that it is one of the expected rule.
func judgeEachViolation(t *testing.T, cases map[string]violationCase) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			report := judge(c.build)
			if len(report.Violations) != 1 || report.Violations[0].Rule != c.rule {
				t.Errorf("want exactly one violation of %q, got %+v", c.rule, report.Violations)
			}
			for _, violation := range report.Violations {
				if violation.Relay != 1 || violation.Text == "" || violation.At <= 0 {
					t.Errorf("relay, text or time of the violation is missing or wrong: %+v", violation)
				}
			}
		})
	}
}

// judgeWithoutViolations checks that no violation is reported for logs that only just comply with the rules.
func judgeWithoutViolations(t *testing.T, cases map[string]func(l *logBuilder)) {
	t.Helper()
	for name, build := range cases {
		t.Run(name, func(t *testing.T) {
			if report := judge(build); len(report.Violations) != 0 {
				t.Errorf("want no violation, got %+v", report.Violations)
			}
		})
	}
}

// judge judges a log in which relay 0 is ready from the start.
func judge(build func(l *logBuilder)) *Report {
	l := newLogBuilder()
	build(l)
	return Judge(testParameters(), l.log, runLength)
}

// violatesOnly reports whether a report has exactly one violation, of the given rule, or none if the rule is empty.
func violatesOnly(report *Report, rule Rule) bool {
	if rule == "" {
		return len(report.Violations) == 0
	}
	return len(report.Violations) == 1 && report.Violations[0].Rule == rule
}
