package checker

import (
	"net/http"
	"time"

	"frostlink/internal/settings"
)

// served is the outcome of each message by its number, whatever id a client submitted it under.
type served struct {
	deliveredAt map[int]time.Duration // not before the client knew that it was accepted
	lastStatus  map[int]string        // Deferred, Undeliverable or none
	executions  map[int]int

	submitted      map[string]int  // the message of each id that was submitted
	accepted       map[string]int  // the message of each id that was accepted
	deliveredEarly map[string]bool // ids that were delivered before the client had the response
}

// readServed reads the outcome of each message from a log.
func readServed(log []Event) *served {
	s := &served{
		deliveredAt: map[int]time.Duration{}, lastStatus: map[int]string{}, executions: map[int]int{},
		submitted: map[string]int{}, accepted: map[string]int{}, deliveredEarly: map[string]bool{},
	}
	for _, e := range byTime(log) {
		s.read(e)
	}
	return s
}

// read reads an event.
func (s *served) read(e Event) {
	switch e.Kind {
	case Submitted:
		s.submitted[e.ID] = e.Message
	case Answered:
		s.answered(e)
	case AttemptEnded:
		if e.Outcome != OK {
			return
		}
		if message, ok := s.accepted[e.ID]; ok {
			s.delivered(message, e.At)
		} else {
			s.deliveredEarly[e.ID] = true
		}
	case Notified:
		if message, ok := s.accepted[e.ID]; ok {
			s.lastStatus[message] = e.State
		}
	case Executed:
		if message, ok := s.submitted[e.ID]; ok {
			s.executions[message]++
		}
	default:
	}
}

// answered reads a relay's response to a client.
func (s *served) answered(e Event) {
	message, ok := s.submitted[e.ID]
	if !ok {
		return
	}
	if !isAcceptance(e.Status) {
		s.lastStatus[message] = statusOf(e.Status)
		return
	}
	s.accepted[e.ID] = message
	s.lastStatus[message] = ""
	if s.deliveredEarly[e.ID] {
		s.delivered(message, e.At)
	}
}

// delivered records the first delivery of a message.
func (s *served) delivered(message int, at time.Duration) {
	if _, known := s.deliveredAt[message]; !known {
		s.deliveredAt[message] = at
	}
}

// countOutcome counts the outcome of a message, in all and by destination.
func (r *Report) countOutcome(s *served, message int, drawn Request, class *settings.Class) {
	for _, c := range []*Counts{&r.Counts, &r.Destinations[drawn.Destination]} {
		if c != &r.Counts {
			c.Requested++
		}
		if executions := s.executions[message]; executions > 1 {
			c.WastedExecutions += executions - 1
		}
		at, delivered := s.deliveredAt[message]
		switch {
		case delivered:
			c.Delivered++
			if RemainingWeight(class, at-drawn.At) == 1 {
				c.InTime++
			}
		case s.lastStatus[message] == Deferred:
			c.Rejected++
		case s.lastStatus[message] == Undeliverable:
			c.Failed++
		default:
			c.Unserved++
		}
	}
}

// isAcceptance reports whether a response with a status accepts a request.
func isAcceptance(status int) bool { return status == http.StatusOK || status == http.StatusAccepted }

// statusOf is the status of the notice that is equivalent to a response which accepts nothing.
func statusOf(status int) string {
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		return Deferred
	}
	return Undeliverable
}
