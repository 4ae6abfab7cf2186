package relay

import (
	"frostlink/internal/clock"
)

// deferredEffect is something to be done once the records of its batch are written.
type deferredEffect struct {
	run func()
	// runBy is when it is done all the same; 0: never without its record. The end of a message whose time is up may be told then: a
	// later process that does not find its record can only end it once more.
	runBy clock.Instant
}

// afterCommit has something done once the records of this batch are written.
func (l *loop) afterCommit(do func()) {
	l.afterCommitEffects = append(l.afterCommitEffects, deferredEffect{run: do})
}

// afterCommitOrBy has something done once the records of this batch are written, or at a time.
func (l *loop) afterCommitOrBy(by clock.Instant, do func()) {
	l.afterCommitEffects = append(l.afterCommitEffects, deferredEffect{do, by})
}

// immediately has something done at the end of this batch, whatever becomes of its records.
func (l *loop) immediately(do func()) { l.immediateEffects = append(l.immediateEffects, do) }

// runAfterCommitEffects carries out the effects that are due.
func (l *loop) runAfterCommitEffects(written bool) {
	effects := l.afterCommitEffects
	l.afterCommitEffects = nil
	var later []deferredEffect
	now := l.timeline.Now()
	for _, e := range effects {
		if written || e.runBy > 0 && now >= e.runBy {
			e.run()
		} else {
			later = append(later, e)
		}
	}
	l.afterCommitEffects = append(later, l.afterCommitEffects...)
}
