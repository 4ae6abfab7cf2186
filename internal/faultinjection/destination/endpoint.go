package destination

import (
	"math/rand/v2"
	"slices"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// endpoint is the state of one endpoint. Callers pass the model's current time to its methods.
type endpoint struct {
	spec *scenario.Destination
	mode Mode

	errorShare float64 // share of attempts that fail in ModeFailing
	resetShare float64 // share of attempts whose connection is reset after the request body
	slowdown   float64 // divides the speed

	paused      bool // by one of the pauses that the scenario configures for the destination
	stopped     bool // by an injected fault
	pauses      *rand.Rand
	pauseChange time.Duration // when paused changes next

	cold     bool          // slow start began at warmFrom; cold stays set after slow start, see isWarm
	warmFrom time.Duration // when slow start began

	draining    bool
	removed     bool
	connections int
	executing   []*Attempt
	queue       []*Attempt
}

func newEndpoint(spec *scenario.Destination, now time.Duration, pauses *rand.Rand) *endpoint {
	e := &endpoint{spec: spec, slowdown: 1, pauses: pauses, pauseChange: never}
	if spec.Pause.High > 0 {
		e.pauseChange = now + scenario.Seconds(spec.PauseEvery.Draw(pauses))
	}
	return e
}

// acceptsAttempts reports whether the endpoint is neither removed nor draining.
func (e *endpoint) acceptsAttempts() bool { return !e.removed && !e.draining }

// speed returns the speed at which the endpoint executes attempts, relative to a warm and healthy endpoint.
func (e *endpoint) speed(now time.Duration) float64 {
	if e.paused || e.stopped {
		return 0
	}
	return e.capacityFraction(now) / e.slowdown
}

// togglePause begins or ends a pause.
func (e *endpoint) togglePause(now time.Duration) {
	e.recordProgress(now)
	e.paused = !e.paused
	if e.paused {
		e.pauseChange = now + scenario.Milliseconds(e.spec.Pause.Draw(e.pauses))
	} else {
		e.pauseChange = now + scenario.Seconds(e.spec.PauseEvery.Draw(e.pauses))
	}
}

// begin begins the execution of an attempt.
func (e *endpoint) begin(now time.Duration, a *Attempt) {
	a.work = time.Duration(float64(a.ServiceTime) * e.spec.ServiceTimeFactor)
	if a.NewConnection {
		a.work += scenario.Milliseconds(e.spec.HandshakeMS)
	}
	a.workAt = now
	e.executing = append(e.executing, a)
}

// beginQueued begins queued attempts while the endpoint executes fewer attempts than its concurrency allows.
func (e *endpoint) beginQueued(now time.Duration) {
	for len(e.queue) > 0 && len(e.executing) < e.spec.Concurrency {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.begin(now, next)
	}
}

// due returns when an executing attempt completes if the endpoint's state does not change until then, or never.
func (e *endpoint) due(a *Attempt) time.Duration {
	if e.paused || e.stopped || e.mode.isDown() {
		return never
	}
	return e.finishTime(a.workAt, a.work.Seconds()*e.slowdown)
}

// nextDue returns when the next attempt completes if the endpoint's state does not change until then, or never.
func (e *endpoint) nextDue() time.Duration {
	next := never
	for _, a := range e.executing {
		next = min(next, e.due(a))
	}
	return next
}

// recordProgress updates the work that remains of each executing attempt to the present. It must be called before the endpoint's
// speed changes, because it calculates the work done since the last update from the present state.
func (e *endpoint) recordProgress(now time.Duration) {
	for _, a := range e.executing {
		if due := e.due(a); due != never {
			a.work = scenario.Seconds(e.workBetween(now, max(due, now)) / e.slowdown)
		}
		a.workAt = now
	}
}

func (e *endpoint) isExecuting(a *Attempt) bool { return slices.Contains(e.executing, a) }

func (e *endpoint) isQueued(a *Attempt) bool { return slices.Contains(e.queue, a) }

func (e *endpoint) removeExecuting(a *Attempt) { e.executing = without(e.executing, a) }

func (e *endpoint) removeQueued(a *Attempt) { e.queue = without(e.queue, a) }

func without(attempts []*Attempt, a *Attempt) []*Attempt {
	return slices.DeleteFunc(attempts, func(other *Attempt) bool { return other == a })
}
