package destination

import (
	"math"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// slowStartTime returns how long a cold endpoint takes to become warm.
func (e *endpoint) slowStartTime() time.Duration { return scenario.Seconds(e.spec.SlowStartTime) }

// isWarm reports whether the endpoint has its full capacity at the given time.
func (e *endpoint) isWarm(at time.Duration) bool {
	return !e.cold || at >= e.warmFrom+e.slowStartTime()
}

// capacityFraction returns the fraction of its full capacity that the endpoint has at the given time.
func (e *endpoint) capacityFraction(at time.Duration) float64 {
	if e.isWarm(at) {
		return 1
	}
	return e.rampCapacity(float64(at-e.warmFrom), float64(e.slowStartTime()))
}

// rampCapacity returns the fraction of the full capacity at a time after the start of slow start. The fraction rises linearly from the
// cold capacity to 1.
func (e *endpoint) rampCapacity(elapsed, slowStartTime float64) float64 {
	return e.spec.ColdCapacity + (1-e.spec.ColdCapacity)*elapsed/slowStartTime
}

// workBetween returns the work, in seconds at full speed, that the endpoint does for each executing attempt between two times. It
// does not take a slowdown into account.
func (e *endpoint) workBetween(from, to time.Duration) float64 {
	if e.isWarm(from) {
		return (to - from).Seconds()
	}
	capacity := func(at time.Duration) float64 {
		return e.rampCapacity((at - e.warmFrom).Seconds(), e.slowStartTime().Seconds())
	}
	rampEnd := min(to, e.warmFrom+e.slowStartTime())
	onRamp := (capacity(from) + capacity(rampEnd)) / 2 * (rampEnd - from).Seconds()
	return onRamp + (to - rampEnd).Seconds()
}

// finishTime returns the time at which work that begins at a given time is finished.
//
// During slow start, with
//
//	c  the cold capacity, a fraction
//	T  the slow start time
//	a  the capacity gained each second, (1 - c) / T
//	v  the capacity when the work begins
//	w  the work, in seconds at full speed
//	t  the time since the work began
//
// the capacity is v + a·t, so that after t the work done is v·t + a·t²/2. All of w is done at t = (√(v² + 2·a·w) - v) / a. Work that
// remains when slow start ends is done at full speed.
func (e *endpoint) finishTime(begin time.Duration, w float64) time.Duration {
	if e.isWarm(begin) {
		return begin + scenario.Seconds(w)
	}
	c, T := e.spec.ColdCapacity, e.slowStartTime()
	a := (1 - c) / T.Seconds()
	v := c + a*(begin-e.warmFrom).Seconds()
	rampEnd := e.warmFrom + T
	t := (rampEnd - begin).Seconds()
	if doneOnRamp := v*t + a*t*t/2; w > doneOnRamp {
		return rampEnd + scenario.Seconds(w-doneOnRamp)
	}
	return begin + scenario.Seconds((math.Sqrt(v*v+2*a*w)-v)/a)
}
