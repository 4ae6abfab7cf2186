package checker

// Counts are what came of all messages. A message is counted once, however often its client came with it.
type Counts struct {
	Asked     int `json:"asked"`
	Delivered int `json:"delivered"`
	InTime    int `json:"in_time"` // within its class's aim
	Refused   int `json:"refused"` // not delivered; the last word was to come again
	Failed    int `json:"failed"`  // not delivered; the last word was that it failed
	Unserved  int `json:"unserved"`
	HandIns   int `json:"hand_ins"`
	Taken     int `json:"taken_on"`
	Unheard   int `json:"unheard"` // hand-ins without an answer
	Deferred  int `json:"notices_deferred"`
	GivenUp   int `json:"notices_undeliverable"`

	Calls       int            `json:"calls"`
	Outcomes    map[string]int `json:"calls_by_outcome"`
	Probes      int            `json:"probes"`
	Connections int            `json:"connections"`
	Effects     int            `json:"effects"`
	Wasted      int            `json:"effects_for_nothing"` // of messages that had it already, or had ended
}

// Report is what came of a run.
type Report struct {
	Breaches []Breach            `json:"breaches"`
	Worth    Worth               `json:"worth"`
	Counts   Counts              `json:"counts"`
	Relays   []Counts            `json:"relays"`
	Partners []Counts            `json:"partners"`
	Waits    map[string]Quantile `json:"time_to_delivery_s"` // by class
}

// count fills in the figures that no rule needs.
func (j *history) count(r *Report, log []Event) {
	r.Relays = make([]Counts, j.Settings.NInstances)
	r.Partners = make([]Counts, len(j.Destinations))
	all := []*Counts{&r.Counts}
	for i := range r.Relays {
		all = append(all, &r.Relays[i])
	}
	for i := range r.Partners {
		all = append(all, &r.Partners[i])
	}
	for _, c := range all {
		c.Outcomes = map[string]int{}
	}
	add := func(e Event, relay bool, do func(*Counts)) {
		do(&r.Counts)
		if relay && e.Relay < len(r.Relays) {
			do(&r.Relays[e.Relay])
		}
		if e.Dest < len(r.Partners) {
			do(&r.Partners[e.Dest])
		}
	}
	for _, e := range log {
		switch c := j.requestsByID[e.ID]; e.Kind {
		case HandedIn:
			add(e, true, func(n *Counts) { n.HandIns++ })
		case Answered:
			if c != nil && c.accepted && c.answeredAt == e.At {
				e.Dest = c.destination
				add(e, true, func(n *Counts) { n.Taken++ })
			}
		case Unheard:
			if c != nil {
				e.Dest = c.destination
				add(e, true, func(n *Counts) { n.Unheard++ })
			}
		case Noticed:
			if c != nil && c.notices[0].At == e.At {
				e.Dest = c.destination
				if e.State == Deferred {
					add(e, true, func(n *Counts) { n.Deferred++ })
				} else {
					add(e, true, func(n *Counts) { n.GivenUp++ })
				}
			}
		case Called:
			add(e, true, func(n *Counts) { n.Calls++ })
		case Probed:
			add(e, true, func(n *Counts) { n.Probes++ })
		case Connected:
			add(e, true, func(n *Counts) { n.Connections++ })
		case Ended:
			if a := j.attemptsByNumber[e.Call]; a != nil && !a.probe {
				e.Relay, e.Dest = a.relay, a.destination
				add(e, true, func(n *Counts) { n.Outcomes[e.Outcome]++ })
			}
		case Effect:
			add(e, false, func(n *Counts) { n.Effects++ })
		}
	}
}
