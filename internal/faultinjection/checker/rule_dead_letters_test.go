package checker

import (
	"reflect"
	"testing"
)

func TestReport_ChecksStoresAgainstLog(t *testing.T) {
	buildLog := func() *logBuilder {
		l := newLogBuilder()
		l.submitAndFail("a", payment, Rejected)
		l.submitAndFail("b", payment, Reset)
		l.add(Event{At: 2 * sec, Kind: Executed, ID: "b"})
		l.redeliver(20*sec, "r", payment, OK)
		for i := range l.log {
			if l.log[i].ID == "b" {
				l.log[i].Message = 1
			}
		}
		return l
	}
	consistent := func() []DeadLetter {
		return []DeadLetter{
			{IDs: []string{"a", "r"}, State: "delivered", Reason: "delivered", NotExecuted: []string{"a"}},
			{IDs: []string{"b"}, State: "held", Reason: "may have run"},
		}
	}
	for name, c := range map[string]struct {
		rule    Rule                // empty: no violation
		extend  func(l *logBuilder) // adds events to the log; nil: none
		change  func(letters []DeadLetter) []DeadLetter
		dropped []string
		states  map[string]int
	}{
		"consistent": {
			change: func(letters []DeadLetter) []DeadLetter { return letters },
			states: map[string]int{"delivered": 1, "held": 1},
		},
		"one is listed as dropped": {
			change:  func(letters []DeadLetter) []DeadLetter { return letters[:1] },
			dropped: []string{"b"},
			states:  map[string]int{"delivered": 1, "not kept": 1},
		},
		"one is missing": {
			rule:   DeadLetterMissing,
			change: func(letters []DeadLetter) []DeadLetter { return letters[:1] },
			states: map[string]int{"delivered": 1},
		},
		"one is stored twice": {
			rule:   DeadLetterWrong,
			change: func(letters []DeadLetter) []DeadLetter { return append(letters, letters[1]) },
			states: map[string]int{"delivered": 1, "held": 2},
		},
		"stored as not executed, and was executed": {
			rule:   DeadLetterWrong,
			change: func(letters []DeadLetter) []DeadLetter { letters[1].NotExecuted = []string{"b"}; return letters },
			states: map[string]int{"delivered": 1, "held": 1},
		},
		"stored as delivered, and was not": {
			rule:   DeadLetterWrong,
			change: func(letters []DeadLetter) []DeadLetter { letters[1].State = "delivered"; return letters },
			states: map[string]int{"delivered": 2},
		},
		"stored, and did not fail": {
			rule: DeadLetterWrong,
			extend: func(l *logBuilder) {
				l.submit(30*sec, "on", status)
				l.attempt(31*sec, "on", "h", OK, ms)
			},
			change: func(letters []DeadLetter) []DeadLetter {
				return append(letters, DeadLetter{IDs: []string{"on"}, State: "held", Reason: "y"})
			},
			states: map[string]int{"delivered": 1, "held": 2},
		},
		"one from before the run is missing": {
			rule:   DeadLetterMissing,
			extend: func(l *logBuilder) { l.add(Event{Kind: StoredBefore, ID: "early", Message: 9}) },
			change: func(letters []DeadLetter) []DeadLetter { return letters },
			states: map[string]int{"delivered": 1, "held": 1},
		},
		"without a reason": {
			rule:   DeadLetterWrong,
			change: func(letters []DeadLetter) []DeadLetter { letters[1].Reason = ""; return letters },
			states: map[string]int{"delivered": 1, "held": 1},
		},
		"stored, and was never submitted": {
			rule: DeadLetterWrong,
			change: func(letters []DeadLetter) []DeadLetter {
				return append(letters, DeadLetter{IDs: []string{"x"}, State: "held", Reason: "y"})
			},
			states: map[string]int{"delivered": 1, "held": 2},
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := buildLog()
			if c.extend != nil {
				c.extend(l)
			}
			report := Judge(testParameters(), l.log, runLength)
			if len(report.Violations) > 0 {
				t.Fatalf("violations before the stores were checked: %+v", report.Violations)
			}
			states := report.CheckStores(testParameters(), l.log, c.change(consistent()), c.dropped, runLength)
			if !reflect.DeepEqual(states, c.states) {
				t.Errorf("states %v, want %v", states, c.states)
			}
			if !violatesOnly(report, c.rule) {
				t.Errorf("want only a violation of %q, got %+v", c.rule, report.Violations)
			}
		})
	}
}
