package checker

import (
	"fmt"
	"testing"
	"time"
)

func TestJudge_ReportsLateAcceptance(t *testing.T) {
	judgeEachViolation(t, map[string]violationCase{
		"accepted only after delivery": {AcceptedLate, func(l *logBuilder) {
			for i := range 3 {
				at, id := time.Duration(i+1)*sec, fmt.Sprint(i)
				l.add(Event{At: at, Kind: Submitted, ID: id, Class: status, Duration: 10 * sec})
				l.attempt(at+ms, id, "h", OK, ms)
				l.add(Event{At: at + 5*ms, Kind: Answered, ID: id, Status: 202})
			}
			l.submit(5*sec, "in time", status)
			l.attempt(6*sec, "in time", "h", OK, ms)
		}},
	})
}
