package relay

import (
	"frostlink/internal/clock"
)

// effectQueue holds what is to be done at the end of batches.
type effectQueue struct {
	immediate   []func()         // of this batch, whatever becomes of its records
	afterCommit []deferredEffect // of this batch and of earlier ones whose records were not written
}

// deferredEffect is something to be done once the records of its batch are durable.
type deferredEffect struct {
	run func()
	// runBy is when it is done all the same; 0: never without its record. The outcome of a request whose deadline has passed may
	// be published then: a later process that does not find its record can only fail it once more.
	runBy clock.Instant
}

// afterCommit has something done once the records of this batch are durable.
func (l *loop) afterCommit(run func()) {
	l.effects.afterCommit = append(l.effects.afterCommit, deferredEffect{run: run})
}

// afterCommitOrBy has something done once the records of this batch are durable, or at a time.
func (l *loop) afterCommitOrBy(runBy clock.Instant, run func()) {
	l.effects.afterCommit = append(l.effects.afterCommit, deferredEffect{run, runBy})
}

// immediately has something done at the end of this batch, whatever becomes of its records.
func (l *loop) immediately(run func()) { l.effects.immediate = append(l.effects.immediate, run) }

// runAfterCommitEffects does what is due of what waits for records.
func (l *loop) runAfterCommitEffects(durable bool) {
	effects := l.effects.afterCommit
	l.effects.afterCommit = nil
	var waiting []deferredEffect
	now := l.timeline.Now()
	for _, e := range effects {
		if durable || e.runBy > 0 && now >= e.runBy {
			e.run()
		} else {
			waiting = append(waiting, e)
		}
	}
	l.effects.afterCommit = append(waiting, l.effects.afterCommit...)
}
