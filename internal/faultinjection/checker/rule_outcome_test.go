package checker

import "testing"

func TestJudge_ReportsOutcomeViolations(t *testing.T) {
	judgeEachViolation(t, map[string]violationCase{
		"no outcome":                                    {OutcomeMissing, func(l *logBuilder) { l.submit(sec, "a", status) }},
		"no outcome after a rejection":                  {OutcomeMissing, func(l *logBuilder) { l.submit(sec, "a", status); l.attempt(2*sec, "a", "h", Rejected, ms) }},
		"no outcome after an attempt that was not sent": {OutcomeMissing, func(l *logBuilder) { l.submit(sec, "a", status); l.attempt(10999*ms, "a", "h", NotSent, ms) }},
		"no outcome after a graceful restart":           {OutcomeMissing, func(l *logBuilder) { l.submit(sec, "a", status); l.restart(2 * sec) }},
		"no outcome after a crash":                      {OutcomeMissing, func(l *logBuilder) { l.submit(sec, "a", status); l.crash(2 * sec) }},
		"a late notice":                                 {OutcomeLate, func(l *logBuilder) { l.submit(sec, "a", status); l.notify(11400*ms, "a", Deferred) }},
		"a notice so late that it counts as missing":    {OutcomeMissing, func(l *logBuilder) { l.submit(sec, "a", status); l.notify(11600*ms, "a", Deferred) }},
		"a late delivery":                               {OutcomeLate, func(l *logBuilder) { l.submit(sec, "a", status); l.attempt(9*sec, "a", "h", OK, 2400*ms) }},
		"a notice too late after a restart":             {OutcomeMissing, func(l *logBuilder) { l.submit(sec, "a", status); l.restart(10 * sec); l.notify(17*sec, "a", Deferred) }},
		"two notices that differ": {OutcomeTwice, func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.notify(2*sec, "a", Deferred)
			l.notify(3*sec, "a", Undeliverable)
		}},
		"a notice after delivery": {OutcomeTwice, func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", OK, ms)
			l.notify(3*sec, "a", Undeliverable)
		}},
		"a late notice of a request that was unread": {OutcomeMissing, func(l *logBuilder) {
			l.add(Event{At: 500 * ms, Kind: Halted})
			l.add(Event{At: sec, Kind: Submitted, ID: "a", Class: status, Duration: 10 * sec})
			l.add(Event{At: 1300 * ms, Kind: Resumed})
			l.add(Event{At: 1310 * ms, Kind: Answered, ID: "a", Status: 202})
			l.notify(11700*ms, "a", Deferred)
		}},
		"a late notice of a request that waited in an inherited socket while the relay had no process": {OutcomeLate, func(l *logBuilder) {
			l.add(Event{At: 500 * ms, Kind: Killed})
			l.add(Event{At: sec, Kind: Submitted, ID: "a", Class: status, Duration: 10 * sec})
			l.add(Event{At: 1300 * ms, Kind: Ready})
			l.add(Event{At: 1310 * ms, Kind: Answered, ID: "a", Status: 202})
			l.notify(11450*ms, "a", Deferred)
		}},
		"a late notice of a request that came while the relay had no process": {OutcomeMissing, func(l *logBuilder) {
			l.add(Event{At: 500 * ms, Kind: Killed})
			l.add(Event{At: sec, Kind: Submitted, ID: "a", Class: status, Duration: 10 * sec})
			l.add(Event{At: 1300 * ms, Kind: Ready})
			l.add(Event{At: 1310 * ms, Kind: Answered, ID: "a", Status: 202})
			l.notify(11700*ms, "a", Deferred)
		}},
		"a late notice of a request that came right after the relay was ready again": {OutcomeLate, func(l *logBuilder) {
			l.add(Event{At: 500 * ms, Kind: Killed})
			l.add(Event{At: 1300 * ms, Kind: Ready})
			l.submit(1310*ms, "a", status)
			l.notify(11700*ms, "a", Deferred)
		}},
		"a notice after delivery, the folder failed and no process ended": {OutcomeTwice, func(l *logBuilder) {
			l.add(Event{At: sec, Kind: FolderFails})
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", OK, ms)
			l.notify(3*sec, "a", Undeliverable)
			l.add(Event{At: 4 * sec, Kind: FolderWorks})
		}},
		"a notice after delivery and a kill, the folder worked by then": {OutcomeTwice, func(l *logBuilder) {
			l.add(Event{At: sec, Kind: FolderFails})
			l.add(Event{At: sec, Kind: FolderFails}) // a second fault of the folder at the same time
			l.add(Event{At: 1500 * ms, Kind: FolderWorks})
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", OK, ms)
			l.add(Event{At: 2500 * ms, Kind: FolderWorks})
			l.crash(3 * sec)
			l.notify(5*sec, "a", Undeliverable)
		}},
		"a notice after delivery and a kill, the folder failed later": {OutcomeTwice, func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", OK, ms)
			l.add(Event{At: 2500 * ms, Kind: FolderFails})
			l.crash(3 * sec)
			l.notify(5*sec, "a", Undeliverable)
		}},
		"a notice after delivery and a kill, the folder failed when the response had been read": {OutcomeTwice, func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", OK, ms)
			l.add(Event{At: 2*sec + 52*ms, Kind: FolderFails})
			l.crash(3 * sec)
			l.notify(5*sec, "a", Undeliverable)
		}},
		"a notice after delivery, the folder failed while the response was in transit and no process ended": {OutcomeTwice, func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", OK, ms)
			l.add(Event{At: 2*sec + 2*ms, Kind: FolderFails})
			l.notify(3*sec, "a", Undeliverable)
		}},
		"a delivery after the notice": {OutcomeTwice, func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.notify(2*sec, "a", Deferred)
			l.attempt(3*sec, "a", "h", OK, ms)
		}},
		"an attempt after the notice": {OutcomeTwice, func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.notify(2*sec, "a", Deferred)
			l.attempt(3*sec, "a", "h", Rejected, ms)
		}},
	})
}

func TestJudge_AllowsOutcomesWithinTolerances(t *testing.T) {
	judgeWithoutViolations(t, map[string]func(l *logBuilder){
		"a request that was unread while its relay was halted": func(l *logBuilder) {
			l.add(Event{At: 500 * ms, Kind: Halted})
			l.add(Event{At: sec, Kind: Submitted, ID: "a", Class: status, Duration: 10 * sec})
			l.add(Event{At: 1300 * ms, Kind: Resumed})
			l.add(Event{At: 1310 * ms, Kind: Answered, ID: "a", Status: 202})
			l.notify(11550*ms, "a", Deferred)
		},
		"a delivery that its relay could not record before it was killed": func(l *logBuilder) {
			l.add(Event{At: sec, Kind: FolderFails})
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", OK, ms)
			l.crash(3 * sec)
			l.add(Event{At: 3500 * ms, Kind: FolderWorks})
			l.notify(5*sec, "a", Undeliverable)
		},
		"a delivery that its relay could not record, as the folder failed while the response was in transit": func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", OK, ms)
			l.add(Event{At: 2*sec + 2*ms, Kind: FolderFails})
			l.crash(3 * sec)
			l.add(Event{At: 3500 * ms, Kind: FolderWorks})
			l.notify(5*sec, "a", Undeliverable)
		},
		"a notice at the last moment": func(l *logBuilder) { l.submit(sec, "a", status); l.notify(11290*ms, "a", Deferred) },
		"the same notice twice": func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.notify(2*sec, "a", Deferred)
			l.notify(3*sec, "a", Deferred)
		},
		"an endpoint answered that the deadline has passed": func(l *logBuilder) { l.submit(sec, "a", status); l.attempt(11001*ms, "a", "h", NotSent, ms) },
		"a rejection": func(l *logBuilder) {
			l.add(Event{At: sec, Kind: Submitted, ID: "a"})
			l.add(Event{At: sec, Kind: Answered, ID: "a", Status: 429})
		},
		"a client that got no response": func(l *logBuilder) {
			l.add(Event{At: sec, Kind: Submitted, ID: "a"})
			l.add(Event{At: sec, Kind: AnswerMissed, ID: "a"})
		},
		"an outcome due during a graceful restart": func(l *logBuilder) { l.submit(sec, "a", status); l.restart(10 * sec); l.notify(16*sec, "a", Deferred) },
		"an outcome due while halted": func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.add(Event{At: 8 * sec, Kind: Halted})
			l.add(Event{At: 15 * sec, Kind: Resumed})
			l.notify(16400*ms, "a", Deferred)
		},
		"a lost machine": func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.add(Event{At: 2 * sec, Kind: MachineLost})
			l.add(Event{At: 3 * sec, Kind: Ready})
		},
		"a response crosses with the notice": func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", OK, ms)
			l.notify(2100*ms, "a", Undeliverable)
		},
		"the process was killed before it recorded the delivery": func(l *logBuilder) {
			l.submit(sec, "a", status)
			l.attempt(2*sec, "a", "h", OK, ms)
			l.crash(2050 * ms)
			l.notify(9*sec, "a", Undeliverable)
		},
	})
}
