package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"frostlink/internal/trace"
)

// History is what happened to one message at all relays that had it.
type History struct {
	ID          string       `json:"id"`
	Class       string       `json:"class,omitempty"`
	Destination int          `json:"dest"`
	Idempotency string       `json:"effect,omitempty"`
	Events      []RelayEvent `json:"events"` // sorted by time; the message's events with equal times keep the order of their relay's log
	Violations  []Violation  `json:"faults,omitempty"`
	// Gaps describes missing or unclear parts of the logs. A gap is no violation, but because of it the logs can't prove
	// that there is no violation.
	Gaps []string `json:"unsure,omitempty"`
	// Related lists the submissions with the same idempotency key under other ids.
	Related []Submission `json:"kin,omitempty"`
}

// Submission is another submission of a message, under an id of its own.
type Submission struct {
	ID       string  `json:"id"`
	Relay    string  `json:"relay"`
	At       float64 `json:"at"`
	Decision string  `json:"how"` // whether it was accepted or rejected, as named in decisions
	Retry    string  `json:"retry,omitempty"`
}

// decisions are the names of the decisions on a submission in reports.
var decisions = map[trace.Kind]string{trace.Accepted: "taken on", trace.Rejected: "refused"}

// History returns the history of a message, or nil if no log contains its id.
func (x *Index) History(id string) *History {
	events := x.messages[id]
	if len(events) == 0 {
		return nil
	}
	h := &History{ID: id, Class: events[0].Class, Destination: events[0].Destination, Events: slices.Clone(events)}
	audits := map[string]*relayAudit{}
	var relays []string // in order of their first event
	for _, e := range events {
		audit := audits[e.Relay]
		if audit == nil {
			audit = &relayAudit{history: h, relay: e.Relay, log: x.relays[e.Relay]}
			audits[e.Relay] = audit
			relays = append(relays, e.Relay)
		}
		audit.add(e)
		h.Idempotency = cmp.Or(e.Idempotency, h.Idempotency)
	}
	for _, relay := range relays {
		audits[relay].finish()
		h.addProcessEvents(audits[relay])
	}
	slices.SortStableFunc(h.Events, func(a, b RelayEvent) int { return cmp.Compare(a.At, b.At) })
	x.addRelated(h, events)
	slices.SortStableFunc(h.Violations, func(a, b Violation) int { return compareSeverity(a.Kind, b.Kind) })
	return h
}

// addProcessEvents adds the starts and shutdowns of a relay during the time in which it had the message.
func (h *History) addProcessEvents(audit *relayAudit) {
	add := func(kind trace.Kind, times []float64) {
		for _, at := range times {
			if at > audit.firstEvent && at < audit.until() {
				h.Events = append(h.Events, RelayEvent{audit.relay, trace.Event{Version: trace.Version, At: at, Kind: kind}})
			}
		}
	}
	add(trace.RelayStarted, audit.log.starts)
	add(trace.ShutdownRequested, audit.log.shutdowns)
}

// addRelated adds the other submissions of a message, and the gaps that its submissions show.
func (x *Index) addRelated(h *History, events []RelayEvent) {
	key := ""
	for _, e := range events {
		key = cmp.Or(e.Key, key)
	}
	if key == "" {
		return
	}
	submissions := x.submissions[key]
	if len(submissions) == 0 { // the key is only in the event of a relay that recovered the message
		h.Gaps = append(h.Gaps, "no hand-in of it is in the logs: one is missing")
		return
	}
	for _, e := range submissions {
		if e.ID != h.ID {
			h.Related = append(h.Related, Submission{ID: e.ID, Relay: e.Relay, At: e.At, Decision: decisions[e.Kind], Retry: e.Retry})
		}
	}
	slices.SortStableFunc(h.Related, func(a, b Submission) int { return cmp.Compare(a.At, b.At) })
	first := slices.MinFunc(submissions, func(a, b RelayEvent) int { return cmp.Compare(a.At, b.At) })
	if first.Retry != "" {
		h.Gaps = append(h.Gaps, fmt.Sprintf("its earliest hand-in in the logs, at %s, says that it was handed in before: "+
			"a log is missing, or clocks differ", first.Relay))
	}
}

// Violating returns the histories of all messages with violations, the worst first.
func (x *Index) Violating() []*History {
	var out []*History
	for id := range x.messages {
		if h := x.History(id); len(h.Violations) > 0 {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *History) int {
		return cmp.Or(
			compareSeverity(a.Violations[0].Kind, b.Violations[0].Kind),
			cmp.Compare(len(b.Violations), len(a.Violations)),
			cmp.Compare(a.Violations[0].At, b.Violations[0].At),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return out
}
