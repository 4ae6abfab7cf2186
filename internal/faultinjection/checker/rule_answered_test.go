package checker

import "testing"

func TestJudge_ReportsUnansweredRequests(t *testing.T) {
	judgeEachViolation(t, map[string]violationCase{
		"a connection closed without a response": {Unanswered, func(l *logBuilder) {
			l.add(Event{At: sec, Kind: Submitted, ID: "a", Class: status, Duration: 10 * sec})
			l.add(Event{At: sec + 5*ms, Kind: AnswerMissed, ID: "a", OK: true})
		}},
		"a connection closed in order on a request that was read, during a shutdown": {Unanswered, func(l *logBuilder) {
			l.add(Event{At: sec, Kind: Stopping})
			l.add(Event{At: 2 * sec, Kind: Submitted, ID: "a", Class: status, Duration: 10 * sec})
			l.add(Event{At: 2*sec + 80*ms, Kind: ClosedOnRequest, ID: "a", Duration: 80 * ms})
			l.add(Event{At: 2*sec + 90*ms, Kind: Killed, OK: true})
		}},
	})
}

func TestJudge_AllowsUnansweredRequestsOfEndedProcesses(t *testing.T) {
	judgeWithoutViolations(t, map[string]func(l *logBuilder){
		"a connection closed as the process ends, or that looks broken": func(l *logBuilder) {
			l.add(Event{At: sec, Kind: Submitted, ID: "a", Class: status, Duration: 10 * sec})
			l.add(Event{At: sec + 5*ms, Kind: AnswerMissed, ID: "a", OK: true})
			l.crash(sec + 50*ms)
			l.add(Event{At: 5 * sec, Kind: SocketsBreak})
			l.add(Event{At: 6 * sec, Kind: Submitted, ID: "b", Class: status, Duration: 10 * sec})
			l.add(Event{At: 6*sec + 5*ms, Kind: AnswerMissed, ID: "b", OK: true})
			l.add(Event{At: 7 * sec, Kind: SocketsHold})
		},
		"a close in order that crosses with the request, or by a process that was killed": func(l *logBuilder) {
			l.add(Event{At: sec, Kind: Submitted, ID: "a", Class: status, Duration: 10 * sec})
			l.add(Event{At: sec + 40*ms, Kind: ClosedOnRequest, ID: "a", Duration: 40 * ms})
			l.add(Event{At: 2 * sec, Kind: Submitted, ID: "b", Class: status, Duration: 10 * sec})
			l.add(Event{At: 2*sec + 80*ms, Kind: ClosedOnRequest, ID: "b", Duration: 80 * ms})
			l.add(Event{At: 2*sec + 90*ms, Kind: Killed})
			l.add(Event{At: 3 * sec, Kind: Ready})
		},
		"a new connection that is closed while a crowd takes the descriptors": func(l *logBuilder) {
			l.add(Event{At: sec, Kind: CrowdCame})
			l.add(Event{At: 2 * sec, Kind: Submitted, ID: "a", Class: status, Duration: 10 * sec})
			l.add(Event{At: 2*sec + 5*ms, Kind: AnswerMissed, ID: "a", OK: true})
			l.add(Event{At: 3 * sec, Kind: CrowdLeft})
		},
	})
}
