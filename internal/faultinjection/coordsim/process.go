package coordsim

import "time"

// process is the common part of members and clients.
type process struct {
	number      int // address on the network
	incarnation int // increases with each crash
	running     bool
	busyUntil   time.Duration // the process's events are deferred until this time, because the process is paused or waits for its disk
	clockRate   float64       // relative to true time
	clockOffset time.Duration // the time of its clock at the start of the run
}

// clock returns the time of the process's boot-time clock at a true time. The clock keeps running while the process is paused.
func (p *process) clock(now time.Duration) time.Duration {
	return p.clockOffset + time.Duration(float64(now)*p.clockRate)
}

// trueTimeUntil returns the true time from now until the process's clock reaches a time.
func (p *process) trueTimeUntil(clockTime, now time.Duration) time.Duration {
	return max(0, time.Duration(float64(clockTime-p.clock(now))/p.clockRate)+1)
}

// crash ends the current incarnation of the process. Its scheduled events are dropped.
func (p *process) crash() {
	p.running = false
	p.incarnation++
}

// pause defers the events of the process until a true time. A pause in progress that ends later is not shortened.
func (p *process) pause(until time.Duration) { p.busyUntil = max(p.busyUntil, until) }

// endPause ends a pause at a true time, unless the pause ends earlier.
func (p *process) endPause(now time.Duration) { p.busyUntil = min(p.busyUntil, now) }
