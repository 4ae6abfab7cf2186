package checker

import (
	"slices"
	"time"
)

// interval is a stretch of time.
type interval struct{ from, to time.Duration }

func (s interval) has(t time.Duration) bool { return t >= s.from && t <= s.to }

// relayIntervals are the stretches of time in which something held for a relay, which may begin several times before it ends.
type relayIntervals struct {
	of   map[int][]interval
	open map[int]int
}

func newPeriods() relayIntervals { return relayIntervals{map[int][]interval{}, map[int]int{}} }

func (p relayIntervals) begin(relay int, at time.Duration) {
	if p.open[relay]++; p.open[relay] == 1 {
		p.of[relay] = append(p.of[relay], interval{at, never})
	}
}

func (p relayIntervals) end(relay int, at time.Duration) {
	if p.open[relay]--; p.open[relay] == 0 {
		all := p.of[relay]
		all[len(all)-1].to = at
	}
}

// hold tells whether it held at a time.
func (p relayIntervals) hold(relay int, at time.Duration) bool {
	return slices.ContainsFunc(p.of[relay], func(s interval) bool { return s.has(at) })
}

// never is later than any run.
const never = time.Duration(1<<63 - 1)

// excused tells whether a relay was away at a time, and until when.
func (j *history) excused(relay int, at time.Duration) (until time.Duration, ok bool) {
	for _, s := range j.absences[relay] {
		if s.has(at) {
			return s.to, true
		}
	}
	return 0, false
}

// unreadFor is how long a request lay unread at a relay that did not run when it came: nothing in it tells when it was sent, so that its
// time counts from when it could be read.
func (j *history) unreadFor(c *request) time.Duration {
	for _, s := range j.halts.of[c.relay] {
		if s.has(c.submittedAt) && s.to != never {
			return s.to - c.submittedAt
		}
	}
	return 0
}

// couldNotRecord tells whether a relay could not record what it learned at a time: its folder failed then, and its process ended before
// that worked again. The next one can't know of it, however right the relay is.
func (j *history) couldNotRecord(relay int, at time.Duration) bool {
	for _, failing := range j.folderFailures.of[relay] {
		if !failing.has(at) {
			continue
		}
		for _, ended := range j.processEnds[relay] {
			if ended >= at && ended <= min(failing.to, never-folderRetry)+folderRetry {
				return true
			}
		}
	}
	return false
}

// restarted tells whether a relay's process ended between two times.
func (j *history) restarted(relay int, from, to time.Duration) bool {
	return slices.ContainsFunc(j.processEnds[relay], func(at time.Duration) bool { return at >= from && at <= to })
}
