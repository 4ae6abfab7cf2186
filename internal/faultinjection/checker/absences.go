package checker

import (
	"slices"
	"time"
)

// never is a time later than the end of any run.
const never = time.Duration(1<<63 - 1)

// interval is a span of time, both ends included.
type interval struct{ from, to time.Duration }

func (i interval) contains(t time.Duration) bool { return t >= i.from && t <= i.to }

// relayIntervals are the intervals in which a condition held for each relay. Several causes of the condition may overlap: an
// interval lasts from the first begin to the end of the last cause.
type relayIntervals struct {
	byRelay map[int][]interval
	depth   map[int]int // by relay: the number of begins without an end
}

// newRelayIntervals returns an empty set of intervals.
func newRelayIntervals() relayIntervals {
	return relayIntervals{byRelay: map[int][]interval{}, depth: map[int]int{}}
}

// begin records that a cause of the condition begins for a relay.
func (r relayIntervals) begin(relay int, at time.Duration) {
	r.depth[relay]++
	if r.depth[relay] == 1 {
		r.byRelay[relay] = append(r.byRelay[relay], interval{at, never})
	}
}

// end records that a cause of the condition ends for a relay. The interval ends when every cause that began has ended.
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

// absences are the intervals in which each relay did not serve: from the first event that announces or shows the end or the halt
// of its process until restartSlack after it was ready again.
type absences struct {
	byRelay map[int][]interval
	since   map[int]time.Duration // the start of the current absence, by relay
}

// newAbsences returns an empty set of absences.
func newAbsences() absences {
	return absences{byRelay: map[int][]interval{}, since: map[int]time.Duration{}}
}

// begin begins an absence of a relay, unless the relay is absent already.
func (a absences) begin(relay int, at time.Duration) {
	if _, absent := a.since[relay]; !absent {
		a.since[relay] = at
	}
}

// end ends the current absence of a relay, if there is one.
func (a absences) end(relay int, at time.Duration) {
	if from, absent := a.since[relay]; absent {
		a.byRelay[relay] = append(a.byRelay[relay], interval{from, at})
		delete(a.since, relay)
	}
}

// finish adds the absences that had not ended at the end of the run.
func (a absences) finish() {
	for relay, from := range a.since {
		a.byRelay[relay] = append(a.byRelay[relay], interval{from, never})
	}
}

// absentUntil reports whether a relay was absent at a time, and when that absence ended.
func (h *history) absentUntil(relay int, at time.Duration) (until time.Duration, absent bool) {
	for _, i := range h.absences.byRelay[relay] {
		if i.contains(at) {
			return i.to, true
		}
	}
	return 0, false
}

// unreadFor returns how long a request stayed unread because its relay was halted when the request arrived. A request does not
// contain the time at which it was sent, so the relay can count its deadline only from the time at which it can read the request.
func (h *history) unreadFor(r *request) time.Duration {
	for _, i := range h.halts.byRelay[r.relay] {
		if i.contains(r.submittedAt) && i.to != never {
			return i.to - r.submittedAt
		}
	}
	return 0
}

// couldNotRecord reports whether a relay was unable to record a response that was written at a time: the relay's folder failed
// when the response was written, or began to fail while the response was in transit, and the relay's process ended before the
// folder worked again and the record could be written. Even a correct relay then has no record of the response after a restart.
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

// restarted reports whether a process of a relay ended between two times.
func (h *history) restarted(relay int, from, to time.Duration) bool {
	return slices.ContainsFunc(h.processEnds[relay], func(at time.Duration) bool { return at >= from && at <= to })
}
