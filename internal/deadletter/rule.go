package deadletter

import (
	"slices"
	"time"

	"frostlink/internal/strictconfig"
)

// Action is what a rule or a plan does with a message.
type Action string

// The values of Action.
const (
	Hold      Action = "hold"
	Redeliver Action = "resend"
	Discard   Action = "discard"
	// supersede is an action of plans only, not of rules: a rule redelivers the message, but a newer one has superseded it.
	supersede = Action(Superseded)
)

// actions lists the actions that a rule may have.
var actions = []Action{Hold, Redeliver, Discard}

// Rule selects messages by its fields, and says what is done with them. A field that is not set matches any message.
type Rule struct {
	Class           string  `json:"Class" toml:"class"`
	Tenant          string  `json:"Tenant" toml:"tenant"`
	Destination     *int    `json:"Partner" toml:"partner"`
	Reason          string  `json:"Reason" toml:"reason"`
	MayHaveExecuted *bool   `json:"MayHaveRun" toml:"may_have_run"`
	OlderThan       float64 `json:"OlderThan" toml:"older_than_s"` // seconds since the message last failed
	Action          Action  `json:"Action" toml:"action,required"`
	Delay           float64 `json:"After" toml:"after_s"`   // for redelivery: seconds since the message last failed
	MaxIncarnations int     `json:"Most" toml:"most"`       // for redelivery: limit on all incarnations, including the first
	Rate            float64 `json:"Rate" toml:"rate"`       // for redelivery: messages per second to each destination
	Hours           string  `json:"Hours" toml:"hours"`     // for redelivery: hours of the day in local time, such as "08:00-18:30"
	DiscardAge      float64 `json:"Age" toml:"after_age_s"` // for discard: seconds since the message was first accepted
	hours           [2]time.Duration
}

// Check adds the errors of a rule to its document; at is the rule's key in the document.
func (r *Rule) Check(d *strictconfig.Document, at string) {
	if r.Action != "" && !slices.Contains(actions, r.Action) {
		d.AddError(at+".action", "%q is none of hold, resend, discard", r.Action)
	}
	if r.Reason != "" && !slices.Contains(reasons, Reason(r.Reason)) {
		d.AddError(at+".reason", "%q is none of %v", r.Reason, reasons)
	}
	for key, v := range map[string]float64{"older_than_s": r.OlderThan, "after_s": r.Delay, "rate": r.Rate, "after_age_s": r.DiscardAge} {
		if v < 0 {
			d.AddError(at+"."+key, "%v is below 0", v)
		}
	}
	r.checkAction(d, at)
	if r.Hours == "" {
		return
	}
	var err error
	if r.hours, err = parseHours(r.Hours); err != nil {
		d.AddError(at+".hours", "%v", err)
	}
}

// checkAction adds an error for each key that has no meaning for the rule's action, and for each key that the action needs
// and the rule lacks.
func (r *Rule) checkAction(d *strictconfig.Document, at string) {
	only := func(key string, action Action) {
		if d.Has(at+"."+key) && r.Action != action {
			d.AddError(at+"."+key, "has no meaning for %q", r.Action)
		}
	}
	only("after_s", Redeliver)
	only("most", Redeliver)
	only("rate", Redeliver)
	only("hours", Redeliver)
	only("after_age_s", Discard)
	switch {
	case r.Action == Discard && !(r.DiscardAge > 0):
		d.AddError(at+".after_age_s", "is missing or not above 0: a discard rule needs a minimum age in seconds")
	case r.Action == Redeliver && r.MaxIncarnations < minIncarnations:
		d.AddError(at+".most", "%d incarnations allow no resend: the first one counts, so the minimum is 2", r.MaxIncarnations)
	}
	if r.Action == Redeliver && !(r.Rate > 0) {
		d.AddError(at+".rate", "is missing or not above 0: a resend rule needs the maximum number of messages per second to each partner")
	}
}

// minIncarnations is the smallest limit that allows a redelivery, because the first incarnation counts too.
const minIncarnations = 2

// matches reports whether a rule applies to a message at a given time.
func (r *Rule) matches(rec *Record, now time.Time) bool {
	return r.matchesAttributes(rec) && (r.OlderThan == 0 || now.Sub(rec.Last().CompletedAt) >= seconds(r.OlderThan))
}

// matchesAttributes reports whether a rule applies to a message that is old enough.
func (r *Rule) matchesAttributes(rec *Record) bool {
	last := rec.Last()
	switch {
	case r.Class != "" && r.Class != rec.Class,
		r.Tenant != "" && r.Tenant != rec.Tenant,
		r.Destination != nil && *r.Destination != rec.Destination,
		r.Reason != "" && Reason(r.Reason) != last.Reason,
		r.MayHaveExecuted != nil && *r.MayHaveExecuted != (rec.MayHaveExecuted() != nil):
		return false
	}
	return true
}

// seconds converts a number of seconds from the operator's file.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
