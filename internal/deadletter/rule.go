package deadletter

import (
	"fmt"
	"slices"
	"time"

	"frostlink/internal/strictconfig"
)

// Action is what is done with a message.
type Action string

// The actions of a rule.
const (
	Hold      Action = "hold"
	Redeliver Action = "resend"
	Discard   Action = "discard"
	// supersede is no action of a rule: a plan has it where a newer message has overtaken the one that a rule redelivers.
	supersede = Action(Superseded)
)

// actions are the actions that a rule may have.
var actions = []Action{Hold, Redeliver, Discard}

// Rule is what the operator wants done with messages that match it. A field that is left out matches any message.
type Rule struct {
	Class           string  `json:"Class" toml:"class"`
	Tenant          string  `json:"Tenant" toml:"tenant"`
	Destination     *int    `json:"Partner" toml:"partner"`
	Reason          string  `json:"Reason" toml:"reason"`
	MayHaveExecuted *bool   `json:"MayHaveRun" toml:"may_have_run"`
	OlderThan       float64 `json:"OlderThan" toml:"older_than_s"` // since it failed last
	Action          Action  `json:"Action" toml:"action,required"`
	Delay           float64 `json:"After" toml:"after_s"`   // resend: since it failed last
	MaxIncarnations int     `json:"Most" toml:"most"`       // resend: incarnations in all, the first one counted
	Rate            float64 `json:"Rate" toml:"rate"`       // resend: a second and destination
	Hours           string  `json:"Hours" toml:"hours"`     // resend: of the day, as "08:00-18:30", local time
	DiscardAge      float64 `json:"Age" toml:"after_age_s"` // discard: since it was first accepted
	hours           [2]time.Duration
}

// Check adds the faults of a rule to those of its document; at is its key.
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

// checkAction adds keys that have no meaning for the rule's action, and those that it lacks.
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
		d.AddError(at+".after_age_s", "is missing: nothing is discarded without an age")
	case r.Action == Redeliver && r.MaxIncarnations < minIncarnations:
		d.AddError(at+".most", "%d lives in all leave no resend; 2 at least, the first one counted", r.MaxIncarnations)
	}
	if r.Action == Redeliver && !(r.Rate > 0) {
		d.AddError(at+".rate", "is missing: how many a second a partner gets at most")
	}
}

// minIncarnations is the smallest number of incarnations that allows a redelivery: the first one counts.
const minIncarnations = 2

// matches reports whether a rule applies to a message at a time.
func (r *Rule) matches(rec *Record, now time.Time) bool {
	return r.matchesAttributes(rec) && (r.OlderThan == 0 || now.Sub(rec.Last().CompletedAt) >= seconds(r.OlderThan))
}

// matchesAttributes reports whether a rule applies to a message once that is old enough.
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

// seconds converts a value of the operator's file.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// Conflicts returns what a rule asks for that the class which it names never allows. A rule for all classes has none: it
// holds what a class does not allow.
func (r *Rule) Conflicts(classes []Class) (faults []string) {
	if r.Action != Redeliver {
		return nil
	}
	found := false
	for i := range classes {
		if r.Class != "" && r.Class != classes[i].Name {
			continue
		}
		found = true
		if r.Class != "" {
			faults = append(faults, r.conflictsWith(&classes[i])...)
		}
	}
	if !found {
		faults = append(faults, fmt.Sprintf("is for class %q, which the relay does not have", r.Class))
	}
	return faults
}

// conflictsWith returns what a rule asks for that its class never allows.
func (r *Rule) conflictsWith(c *Class) (faults []string) {
	mayHaveExecuted := r.MayHaveExecuted != nil && *r.MayHaveExecuted || r.Reason == string(OutcomeUnknown)
	switch {
	case mayHaveExecuted && c.Idempotency == NotIdempotent:
		faults = append(faults, fmt.Sprintf("resends %s messages that may have run, and that class may not be repeated: only an attest allows it", c.Name))
	case mayHaveExecuted && c.Idempotency == IdempotentByKey && seconds(max(r.Delay, r.OlderThan))+keyMargin >= c.KeyTTL:
		faults = append(faults, fmt.Sprintf("resends %s messages that may have run after %v s, and partners remember a key for %v only", c.Name, max(r.Delay, r.OlderThan), c.KeyTTL))
	}
	if r.MaxIncarnations > c.MaxAttempts {
		faults = append(faults, fmt.Sprintf("allows %d lives, and class %s is allowed %d attempts in all", r.MaxIncarnations, c.Name, c.MaxAttempts))
	}
	return faults
}
