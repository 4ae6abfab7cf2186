package checker

import (
	"net/http"
	"testing"
)

// endedBy adds an attempt of request a after 2 s whose response, with a status, ends its request, and that its relay has read.
func (l *logBuilder) endedBy(status int) {
	outcome := NotSent
	if status == http.StatusOK {
		outcome, status = OK, 0
	}
	l.attempt(2*sec, "a", "h", outcome, ms, func(_, ended *Event) { ended.Status = status })
	l.add(Event{At: 2*sec + 51*ms, Kind: ResponseRead, Attempt: l.attempts})
}

func TestJudge_ReportsAttemptsAfterEnd(t *testing.T) {
	cases := map[string]violationCase{
		"a rejected request": {SentAfterEnd, func(l *logBuilder) {
			l.add(Event{At: sec, Kind: Submitted, ID: "a", Duration: timeToLive})
			l.add(Event{At: sec + 5*ms, Kind: Answered, ID: "a", Status: 429})
			l.attempt(2*sec, "a", "h", Rejected, ms)
		}},
		"graceful restart after a withdrawal": {SentAfterEnd, func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.endedBy(http.StatusGone)
			l.restart(2500 * ms)
			l.attempt(7*sec, "a", "i", Rejected, ms)
		}},
		"a shutdown that is suspended long after a withdrawal": {SentAfterEnd, func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.endedBy(http.StatusGone)
			l.add(Event{At: 2500 * ms, Kind: Stopping})
			l.add(Event{At: 3 * sec, Kind: Suspended})
			l.add(Event{At: 6200 * ms, Kind: Killed})
			l.add(Event{At: 6800 * ms, Kind: Ready})
			l.attempt(7*sec, "a", "i", Rejected, ms)
		}},
		"a kill long after a withdrawal": {SentAfterEnd, func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.endedBy(http.StatusGone)
			l.crash(2500 * ms)
			l.attempt(5*sec, "a", "i", Rejected, ms)
		}},
	}
	for name, status := range map[string]int{"delivery": http.StatusOK, "withdrawal": http.StatusGone} {
		cases["a "+name] = violationCase{SentAfterEnd, func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.endedBy(status)
			l.attempt(2300*ms, "a", "i", Rejected, ms)
		}}
	}
	cases["the last attempt"] = violationCase{SentAfterEnd, func(l *logBuilder) {
		l.submit(sec, "a", payment)
		l.endedBy(http.StatusGatewayTimeout)
		l.attempt(2300*ms, "a", "i", Rejected, ms)
		l.notify(3*sec, "a", Deferred)
	}}
	judgeEachViolation(t, cases)
}

func TestJudge_AllowsAttemptsThatKnowOfNoEnd(t *testing.T) {
	judgeWithoutViolations(t, map[string]func(l *logBuilder){
		"a withdrawal without a notice": func(l *logBuilder) { l.submit(sec, "a", payment); l.endedBy(http.StatusGone) },
		"a withdrawal with a notice": func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.endedBy(http.StatusGone)
			l.notify(2200*ms, "a", Deferred)
		},
		"the relay had given the attempt up": func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.attempt(2*sec, "a", "h", NotSent, ms, func(_, ended *Event) { ended.Status = http.StatusGone })
			l.attempt(2300*ms, "a", "i", OK, ms)
		},
		"killed as it read the response": func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.endedBy(http.StatusGone)
			l.crash(2100 * ms)
			l.attempt(4*sec, "a", "i", OK, ms)
		},
		"suspended in its shutdown as the response came": func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.add(Event{At: 1500 * ms, Kind: Stopping})
			l.add(Event{At: 2010 * ms, Kind: Suspended})
			l.endedBy(http.StatusGone)
			l.add(Event{At: 5200 * ms, Kind: Killed})
			l.add(Event{At: 5800 * ms, Kind: Ready})
			l.attempt(6*sec, "a", "i", OK, ms)
		},
		"suspended as the response came": func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.add(Event{At: 1990 * ms, Kind: Halted})
			l.endedBy(http.StatusGone)
			l.add(Event{At: 2100 * ms, Kind: Resumed})
			l.attempt(2300*ms, "a", "i", OK, ms)
		},
		"a lack of slots": func(l *logBuilder) {
			l.submit(sec, "a", payment)
			l.attempt(2*sec, "a", "h", NotSent, ms)
			l.attempt(3*sec, "a", "h", OK, ms)
		},
	})
}
