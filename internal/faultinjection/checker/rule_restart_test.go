package checker

import (
	"fmt"
	"testing"
	"time"
)

func TestJudge_ReportsUntriedFailuresAfterRestart(t *testing.T) {
	judgeEachViolation(t, map[string]violationCase{
		"most untried requests failed after a restart": {FailedUntried, func(l *logBuilder) {
			for i := range 7 {
				l.submit(sec+time.Duration(i)*ms, fmt.Sprint(i), status)
			}
			l.attempt(1500*ms, "0", "h", Rejected, ms) // attempted before the restart
			l.restart(2 * sec)
			l.attempt(7*sec, "0", "h", OK, ms)
			l.attempt(7*sec, "1", "h", OK, ms)
			l.attempt(7*sec, "2", "h", Rejected, ms)
			for i := 2; i < 7; i++ {
				l.notify(8*sec+time.Duration(i)*ms, fmt.Sprint(i), Deferred)
			}
		}},
		"most untried requests that may not be repeated failed, and half of all were tried": {FailedUntried, func(l *logBuilder) {
			for i := range 9 {
				l.submit(sec+time.Duration(i)*ms, fmt.Sprint(i), []int{order, payment, status}[i%3])
			}
			l.crash(2 * sec)
			for i := range 9 {
				if i%3 == 2 || i < 2 {
					l.attempt(7*sec+time.Duration(i)*ms, fmt.Sprint(i), "h", Rejected, ms)
				}
				l.notify(8*sec+time.Duration(i)*ms, fmt.Sprint(i), Deferred)
			}
		}},
	})
}

func TestJudge_AllowsFewUntriedFailuresAfterRestart(t *testing.T) {
	judgeWithoutViolations(t, map[string]func(l *logBuilder){
		"half of the untried requests failed": func(l *logBuilder) {
			for i := range 6 {
				l.submit(sec+time.Duration(i)*ms, fmt.Sprint(i), status)
			}
			l.restart(2 * sec)
			for i := range 6 {
				if i%2 == 0 {
					l.attempt(7*sec+time.Duration(i)*ms, fmt.Sprint(i), "h", Rejected, ms)
				}
				l.notify(8*sec+time.Duration(i)*ms, fmt.Sprint(i), Deferred)
			}
		},
		"untried requests that may not be repeated and had under half of their time left": func(l *logBuilder) {
			for i := range 9 {
				l.submit(sec+time.Duration(i)*ms, fmt.Sprint(i), []int{order, payment, status}[i%3])
			}
			l.crash(5500 * ms)
			for i := range 9 {
				if i%3 == 2 || i < 2 {
					l.attempt(8*sec+time.Duration(i)*ms, fmt.Sprint(i), "h", Rejected, ms)
				}
				l.notify(9*sec+time.Duration(i)*ms, fmt.Sprint(i), Deferred)
			}
		},
		"untried requests of a destination that was out": func(l *logBuilder) {
			for i := range 6 {
				l.submit(sec+time.Duration(i)*ms, fmt.Sprint(i), status)
				l.notify(9*sec+time.Duration(i)*ms, fmt.Sprint(i), Deferred)
			}
			l.add(Event{At: 3 * sec, Kind: OutageBegan, State: "refuse"})
			l.add(Event{At: 8 * sec, Kind: OutageEnded})
			l.restart(2 * sec)
		},
	})
}
