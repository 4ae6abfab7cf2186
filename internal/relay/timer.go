package relay

import (
	"time"

	"frostlink/policy"
)

// setTimer has the dispatcher woken at a time.
func (l *loop) setTimer(at time.Duration) {
	l.timerAt = at
	l.wakeAt = min(l.wakeAt, at)
}

// wakeDispatcher gives the dispatcher events and has the loop go on at once, so that it acts on them.
func (l *loop) wakeDispatcher(events ...policy.Event) {
	l.events = append(l.events, events...)
	l.wakeAt = 0
}

// timerFired reports whether the dispatcher is to be woken, and sets the next time. Guards against a timer that is lost:
// where an earlier one, or the loop itself, wakes the dispatcher, what it asked for last is still to come.
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

// nextWake is when the loop goes on without an event: for the dispatcher, for a request whose outcome is due, or to try the
// folder again.
func (l *loop) nextWake() time.Duration {
	at := l.wakeAt
	if due := l.deadlines.Next(); due > 0 {
		at = min(at, time.Duration(due)+overdueMargin)
	}
	if retry, ok := l.folderRetryAt(); ok {
		at = min(at, retry)
	}
	return at
}
