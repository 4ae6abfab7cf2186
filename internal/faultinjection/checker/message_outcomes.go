package checker

import (
	"net/http"
	"time"

	"frostlink/internal/settings"
)

// messageOutcomes holds the outcome of each message by its number, over all ids under which clients submitted the message.
type messageOutcomes struct {
	deliveredAt map[int]time.Duration // not earlier than the response that reported the acceptance of the message to its client
	lastStatus  map[int]string        // Deferred, Undeliverable or empty
	executions  map[int]int

	submitted      map[string]int  // the number of the message, by each id that was submitted
	accepted       map[string]int  // the number of the message, by each id that was accepted
	deliveredEarly map[string]bool // ids that were delivered before their client got the response
}

// readMessageOutcomes reads the outcome of each message from a log.
func readMessageOutcomes(log []Event) *messageOutcomes {
	s := &messageOutcomes{
		deliveredAt: map[int]time.Duration{}, lastStatus: map[int]string{}, executions: map[int]int{},
		submitted: map[string]int{}, accepted: map[string]int{}, deliveredEarly: map[string]bool{},
	}
	for _, e := range byTime(log) {
		s.read(e)
	}
	return s
}

// read reads an event.
func (s *messageOutcomes) read(e Event) {
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
func (s *messageOutcomes) answered(e Event) {
	message, ok := s.submitted[e.ID]
	if !ok {
		return
	}
	if !isAcceptance(e.Status) {
		s.lastStatus[message] = equivalentNotice(e.Status)
		return
	}
	s.accepted[e.ID] = message
	s.lastStatus[message] = ""
	if s.deliveredEarly[e.ID] {
		s.delivered(message, e.At)
	}
}

// delivered records the delivery of a message. Only the first delivery counts.
func (s *messageOutcomes) delivered(message int, at time.Duration) {
	if _, known := s.deliveredAt[message]; !known {
		s.deliveredAt[message] = at
	}
}

// countOutcome counts the outcome of a message, in total and for its destination.
func (r *Report) countOutcome(s *messageOutcomes, message int, planned Request, class *settings.Class) {
	for _, c := range []*Counts{&r.Counts, &r.Destinations[planned.Destination]} {
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
			if RemainingWeight(class, at-planned.At) == 1 {
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

// isAcceptance reports whether a response with this status accepts the request.
func isAcceptance(status int) bool { return status == http.StatusOK || status == http.StatusAccepted }

// equivalentNotice returns the status of the notice that means the same to a client as a response that does not accept the request.
func equivalentNotice(status int) string {
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		return Deferred
	}
	return Undeliverable
}
