package checker

import (
	"slices"
	"time"
)

// never is later than any run.
const never = time.Duration(1<<63 - 1)

// interval is a span of time, both ends included.
type interval struct{ from, to time.Duration }

func (i interval) contains(t time.Duration) bool { return t >= i.from && t <= i.to }

// relayIntervals are the intervals in which a condition held for each relay; it may begin several times before it ends.
type relayIntervals struct {
	byRelay map[int][]interval
	depth   map[int]int // how often it has begun and not ended
}

// newRelayIntervals returns no intervals.
func newRelayIntervals() relayIntervals {
	return relayIntervals{byRelay: map[int][]interval{}, depth: map[int]int{}}
}

// begin begins the condition for a relay.
func (r relayIntervals) begin(relay int, at time.Duration) {
	r.depth[relay]++
	if r.depth[relay] == 1 {
		r.byRelay[relay] = append(r.byRelay[relay], interval{at, never})
	}
}

// end ends it, as often as it began.
func (r relayIntervals) end(relay int, at time.Duration) {
	r.depth[relay]--
	if r.depth[relay] == 0 {
		all := r.byRelay[relay]
		all[len(all)-1].to = at
	}
}

// contains reports whether the condition held for a relay at a time.
func (r relayIntervals) contains(relay int, at time.Duration) bool {
	return slices.ContainsFunc(r.byRelay[relay], func(i interval) bool { return i.contains(at) })
}

// absences are the intervals in which each relay did not serve: from the first sign of its end until some slack after it was
// ready again.
type absences struct {
	byRelay map[int][]interval
	since   map[int]time.Duration // of relays that are absent now
}

// newAbsences returns no absences.
func newAbsences() absences {
	return absences{byRelay: map[int][]interval{}, since: map[int]time.Duration{}}
}

// begin begins a relay's absence, unless it is absent.
func (a absences) begin(relay int, at time.Duration) {
	if _, absent := a.since[relay]; !absent {
		a.since[relay] = at
	}
}

// end ends a relay's absence, if it is absent.
func (a absences) end(relay int, at time.Duration) {
	if from, absent := a.since[relay]; absent {
		a.byRelay[relay] = append(a.byRelay[relay], interval{from, at})
		delete(a.since, relay)
	}
}

// finish adds the absences that last until the end of the run.
func (a absences) finish() {
	for relay, from := range a.since {
		a.byRelay[relay] = append(a.byRelay[relay], interval{from, never})
	}
}

// excused reports whether a relay was absent at a time, and until when.
func (h *history) excused(relay int, at time.Duration) (until time.Duration, absent bool) {
	for _, i := range h.absences.byRelay[relay] {
		if i.contains(at) {
			return i.to, true
		}
	}
	return 0, false
}

// unreadFor is how long a request was unread as its relay was halted when it came: nothing in it says when it was sent, so
// that its time counts from when it could be read.
func (h *history) unreadFor(r *request) time.Duration {
	for _, i := range h.halts.byRelay[r.relay] {
		if i.contains(r.submittedAt) && i.to != never {
			return i.to - r.submittedAt
		}
	}
	return 0
}

// couldNotRecord reports whether a relay could not record a response that was written at a time: its folder failed when the
// response was written, or began to fail while it was in transit, and the relay's process ended before the folder worked
// again. The next process can't know of it, however right the relay is.
func (h *history) couldNotRecord(relay int, at time.Duration) bool {
	for _, failure := range h.folderFailures.byRelay[relay] {
		if !failure.contains(at) && !failure.contains(at+socketSlack) {
			continue
		}
		writableBy := min(failure.to, never-folderRetry) + folderRetry
		for _, ended := range h.processEnds[relay] {
			if ended >= at && ended <= writableBy {
				return true
			}
		}
	}
	return false
}

// restarted reports whether a relay's process ended between two times.
func (h *history) restarted(relay int, from, to time.Duration) bool {
	return slices.ContainsFunc(h.processEnds[relay], func(at time.Duration) bool { return at >= from && at <= to })
}
