package relay

import (
	"time"
)

// nextWake is when the loop goes on by itself: for the module, for a message whose outcome is due, or to try the folder again.
func (l *loop) nextWake() time.Duration {
	at := l.wakeAt
	if due := l.deadlines.Next(); due > 0 {
		at = min(at, time.Duration(due)+overdueMargin)
	}
	if retry, ok := l.retryAt(); ok {
		at = min(at, retry)
	}
	return at
}

// setTimer has the module woken at a time.
func (l *loop) setTimer(at time.Duration) {
	l.timerAt = at
	l.wakeAt = min(l.wakeAt, at)
}

// timerFired tells whether the module is to be woken, and sets the next time. Guards against a timer that is lost: where an
// earlier one, or the loop's own cause, wakes the module, what it asked for last is still to come.
func (l *loop) timerFired(now time.Duration) bool {
	if l.wakeAt > now {
		return false
	}
	l.wakeAt = now + time.Hour
	if l.timerAt > now {
		l.wakeAt = l.timerAt
	}
	return true
}
