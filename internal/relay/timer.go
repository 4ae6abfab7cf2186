package relay

import (
	"time"

	"frostlink/policy"
)

// setTimer sets the time of the dispatcher's next TimerFired.
func (l *loop) setTimer(at time.Duration) {
	l.timerAt = at
	l.wakeAt = min(l.wakeAt, at)
}

// wakeDispatcher adds events to the next batch and makes the loop run that batch at once.
func (l *loop) wakeDispatcher(events ...policy.Event) {
	l.events = append(l.events, events...)
	l.wakeAt = 0
}

// timerFired reports whether wakeAt has passed, and sets the next wakeAt. It guards against a lost timer: if an earlier timer or
// wakeDispatcher caused this wake-up, the timer that the dispatcher set last still has to fire.
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

// nextWake returns when the loop runs a batch even without an event: for the dispatcher's timer, for a request whose outcome
// is overdue, or to retry a write to the folder.
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
