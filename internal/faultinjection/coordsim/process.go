package coordsim

import "time"

// process is what members and clients have in common.
type process struct {
	number      int // on the network
	incarnation int // grows with every crash
	running     bool
	busyUntil   time.Duration // nothing happens to it before: it is paused, or waits for its disk
	clockRate   float64       // against true time
	clockOffset time.Duration // what its clock shows when the run begins
}

// clock returns what the process's boot-time clock shows at a true time. The clock goes on while the process is paused.
func (p *process) clock(now time.Duration) time.Duration {
	return p.clockOffset + time.Duration(float64(now)*p.clockRate)
}

// trueTimeUntil returns how much true time passes from now until the process's clock shows a moment.
func (p *process) trueTimeUntil(moment, now time.Duration) time.Duration {
	return max(0, time.Duration(float64(moment-p.clock(now))/p.clockRate)+1)
}

// crash ends the process's incarnation: its events are dropped.
func (p *process) crash() {
	p.running = false
	p.incarnation++
}

// pause makes nothing happen to the process up to a moment of true time.
func (p *process) pause(until time.Duration) { p.busyUntil = max(p.busyUntil, until) }

// endPause ends a pause at a moment of true time.
func (p *process) endPause(now time.Duration) { p.busyUntil = min(p.busyUntil, now) }
