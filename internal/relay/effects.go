package relay

import (
	"frostlink/internal/clock"
)

// effectQueue holds the effects that a commit carries out at the end of its batch.
type effectQueue struct {
	immediate   []func()         // of this batch; they need no record
	afterCommit []deferredEffect // of this batch, and of earlier batches whose records are not durable yet
}

// deferredEffect is an effect that waits until the records of its batch are durable.
type deferredEffect struct {
	run func()
	// runBy is when the effect runs even without the records; 0: never. For a terminal outcome it is the request's deadline:
	// after that the outcome may be published, since a later process that finds no record can only fail the request again.
	runBy clock.Instant
}

// afterCommit schedules an effect for when the records of this batch are durable.
func (l *loop) afterCommit(run func()) {
	l.effects.afterCommit = append(l.effects.afterCommit, deferredEffect{run: run})
}

// afterCommitOrBy schedules an effect for when the records of this batch are durable, or for runBy if that is earlier.
func (l *loop) afterCommitOrBy(runBy clock.Instant, run func()) {
	l.effects.afterCommit = append(l.effects.afterCommit, deferredEffect{run, runBy})
}

// immediately schedules an effect for the end of this batch, whether or not its records are written.
func (l *loop) immediately(run func()) { l.effects.immediate = append(l.effects.immediate, run) }

// runAfterCommitEffects runs the effects that wait for records: all of them if the records are durable, else those whose
// runBy has passed.
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
