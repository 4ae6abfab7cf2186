package deadletter

import (
	"fmt"
	"slices"
	"time"

	"frostlink/internal/strictconfig"
)

// The actions of a rule.
const (
	Hold      = "hold"
	Redeliver = "resend"
	Discard   = "discard"
)

// Rule says what becomes of messages that match it. What a rule leaves out matches anything.
type Rule struct {
	Class           string  `json:"Class" toml:"class"`
	Tenant          string  `json:"Tenant" toml:"tenant"`
	Destination     *int    `json:"Partner" toml:"partner"`
	Reason          string  `json:"Reason" toml:"reason"`
	MayHaveExecuted *bool   `json:"MayHaveRun" toml:"may_have_run"`
	OlderThan       float64 `json:"OlderThan" toml:"older_than_s"` // since it was given up
	Action          string  `json:"Action" toml:"action,required"`
	Delay           float64 `json:"After" toml:"after_s"`   // resend: since it was last given up
	MaxIncarnations int     `json:"Most" toml:"most"`       // resend: incarnations in all, the first one counted
	Rate            float64 `json:"Rate" toml:"rate"`       // resend: a second and destination
	Hours           string  `json:"Hours" toml:"hours"`     // resend: of the day, as "08:00-18:30", local time
	DiscardAge      float64 `json:"Age" toml:"after_age_s"` // discard: since it was first accepted
	hours           [2]time.Duration
}

// Check reports what is wrong with a rule at a key of the file.
func (r *Rule) Check(d *strictconfig.Document, at string) {
	if r.Action != "" && !slices.Contains([]string{Hold, Redeliver, Discard}, r.Action) {
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

// checkAction reports keys that have no meaning for the rule's action, and those that it lacks.
func (r *Rule) checkAction(d *strictconfig.Document, at string) {
	only := func(key, action string) {
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

// minIncarnations is the least number of incarnations that leaves room for a redelivery: the first one counts.
const minIncarnations = 2

// matches tells whether a rule is for a message, old as it is.
func (r *Rule) matches(rec *Record, now time.Time) bool {
	return r.matchesAttributes(rec) && (r.OlderThan == 0 || now.Sub(rec.Last().CompletedAt) >= seconds(r.OlderThan))
}

// matchesAttributes tells whether a rule is for a message once that is old enough.
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

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// Conflicts reports in plain words what in a rule can never be: a redelivery that the classes it is for do not allow.
func (r *Rule) Conflicts(classes []Class) (faults []string) {
	if r.Action != Redeliver {
		return nil
	}
	found := false
	for _, c := range classes {
		if r.Class != "" && r.Class != c.Name {
			continue
		}
		found = true
		named := r.Class != "" // a rule for all classes is held where a class forbids; one that names it is a mistake
		may := r.MayHaveExecuted != nil && *r.MayHaveExecuted || r.Reason == string(OutcomeUnknown)
		switch {
		case named && may && c.Idempotency == NotIdempotent:
			faults = append(faults, fmt.Sprintf("resends %s messages that may have run, and that class may not be repeated: only an attest allows it", c.Name))
		case named && may && c.Idempotency == IdempotentByKey && seconds(max(r.Delay, r.OlderThan))+keyMargin >= c.KeyTTL:
			faults = append(faults, fmt.Sprintf("resends %s messages that may have run after %v s, and partners remember a key for %v only", c.Name, max(r.Delay, r.OlderThan), c.KeyTTL))
		}
		if named && r.MaxIncarnations > c.MaxAttempts {
			faults = append(faults, fmt.Sprintf("allows %d lives, and class %s is allowed %d attempts in all", r.MaxIncarnations, c.Name, c.MaxAttempts))
		}
	}
	if !found {
		faults = append(faults, fmt.Sprintf("is for class %q, which the relay does not have", r.Class))
	}
	return faults
}
