package checker

// Counts holds the number of messages by outcome and the number of events by kind. A message counts once, however often its client
// submitted it.
type Counts struct {
	Requested     int `json:"asked"`
	Delivered     int `json:"delivered"`
	InTime        int `json:"in_time"`  // within its class's latency objective
	Rejected      int `json:"refused"`  // not delivered; the last response or notice allowed the client to submit it again
	Failed        int `json:"failed"`   // not delivered; the last response or notice reported a failure
	Unserved      int `json:"unserved"` // not delivered; there was no response, or an acceptance that no notice followed
	Submissions   int `json:"hand_ins"`
	Accepted      int `json:"taken_on"`
	Unanswered    int `json:"unheard"` // submissions without a response
	Deferred      int `json:"notices_deferred"`
	Undeliverable int `json:"notices_undeliverable"`

	Attempts          int            `json:"calls"`
	AttemptsByOutcome map[string]int `json:"calls_by_outcome"`
	Probes            int            `json:"probes"`
	Connections       int            `json:"connections"`
	Executions        int            `json:"effects"`
	WastedExecutions  int            `json:"effects_for_nothing"` // executions of messages that had already been executed
}

// Report is the result of a run.
type Report struct {
	Violations      []Violation          `json:"breaches"`
	DeliveredWeight DeliveredWeight      `json:"worth"`
	Counts          Counts               `json:"counts"`
	Relays          []Counts             `json:"relays"`
	Destinations    []Counts             `json:"partners"`
	TimeToDelivery  map[string]Quantiles `json:"time_to_delivery_s"` // by class
}

// count counts the events of a log in total, by relay and by destination.
func (h *history) count(r *Report, log []Event) {
	r.Relays = make([]Counts, h.Settings.Instances)
	r.Destinations = make([]Counts, len(h.Destinations))
	r.Counts.AttemptsByOutcome = map[string]int{}
	for i := range r.Relays {
		r.Relays[i].AttemptsByOutcome = map[string]int{}
	}
	for i := range r.Destinations {
		r.Destinations[i].AttemptsByOutcome = map[string]int{}
	}
	for _, e := range log {
		if e, counted := h.attributed(e); counted {
			r.add(e)
		}
	}
}

// attributed returns an event with its relay and destination filled in, and whether the event is counted. Of the responses to a
// request, only the first is counted, and only if it accepts the request. Of the notices of a request, only the first is counted.
func (h *history) attributed(e Event) (Event, bool) {
	request := h.requestsByID[e.ID]
	switch e.Kind {
	case Submitted, AttemptSent, Probed, Connected, Executed:
		return e, true
	case AttemptEnded:
		a := h.attemptsByNumber[e.Attempt]
		if a == nil || a.probe {
			return e, false
		}
		e.Relay, e.Destination = a.relay, a.destination
		return e, true
	case Answered:
		if request == nil || !request.accepted || request.answeredAt != e.At {
			return e, false
		}
	case Notified:
		if request == nil || request.notices[0].At != e.At {
			return e, false
		}
	case AnswerMissed:
		if request == nil {
			return e, false
		}
	default:
		return e, false
	}
	e.Destination = request.destination
	return e, true
}

// add counts an event. An execution is not counted for any relay, because the log does not state which relay sent the attempt.
func (r *Report) add(e Event) {
	r.Counts.add(e)
	if e.Kind != Executed && e.Relay < len(r.Relays) {
		r.Relays[e.Relay].add(e)
	}
	if e.Destination < len(r.Destinations) {
		r.Destinations[e.Destination].add(e)
	}
}

// add counts an event that attributed has returned.
func (c *Counts) add(e Event) {
	switch e.Kind {
	case Submitted:
		c.Submissions++
	case Answered:
		c.Accepted++
	case AnswerMissed:
		c.Unanswered++
	case Notified:
		if e.State == Deferred {
			c.Deferred++
		} else {
			c.Undeliverable++
		}
	case AttemptSent:
		c.Attempts++
	case Probed:
		c.Probes++
	case Connected:
		c.Connections++
	case AttemptEnded:
		c.AttemptsByOutcome[e.Outcome]++
	case Executed:
		c.Executions++
	default:
	}
}
