package deadletter

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"frostlink/internal/strictconfig"
)

// The actions of a rule.
const (
	Hold    = "hold"
	Resend  = "resend"
	Discard = "discard"
)

// Rule says what becomes of messages that match it. What a rule leaves out matches anything.
type Rule struct {
	Class      string  `json:"Class" toml:"class"`
	Tenant     string  `json:"Tenant" toml:"tenant"`
	Partner    *int    `json:"Partner" toml:"partner"`
	Reason     string  `json:"Reason" toml:"reason"`
	MayHaveRun *bool   `json:"MayHaveRun" toml:"may_have_run"`
	OlderThan  float64 `json:"OlderThan" toml:"older_than_s"` // since it was given up
	Action     string  `json:"Action" toml:"action,required"`
	After      float64 `json:"After" toml:"after_s"`   // resend: since it was last given up
	Most       int     `json:"Most" toml:"most"`       // resend: lives in all, the first one counted
	Rate       float64 `json:"Rate" toml:"rate"`       // resend: a second and partner
	Hours      string  `json:"Hours" toml:"hours"`     // resend: of the day, as "08:00-18:30", local time
	Age        float64 `json:"Age" toml:"after_age_s"` // discard: since it was first taken on
	hours      [2]time.Duration
}

// day is the length of a day in Hours: what a rule says of hours is of the wall clock's.
const day = 24 * time.Hour

// Check reports what is wrong with a rule at a key of the file.
func (r *Rule) Check(d *strictconfig.Document, at string) {
	if r.Action != "" && !slices.Contains([]string{Hold, Resend, Discard}, r.Action) {
		d.AddError(at+".action", "%q is none of hold, resend, discard", r.Action)
	}
	if r.Reason != "" && !slices.Contains(reasons, Reason(r.Reason)) {
		d.AddError(at+".reason", "%q is none of %v", r.Reason, reasons)
	}
	for key, v := range map[string]float64{"older_than_s": r.OlderThan, "after_s": r.After, "rate": r.Rate, "after_age_s": r.Age} {
		if v < 0 {
			d.AddError(at+"."+key, "%v is below 0", v)
		}
	}
	only := func(key, action string) {
		if d.Has(at+"."+key) && r.Action != action {
			d.AddError(at+"."+key, "has no meaning for %q", r.Action)
		}
	}
	only("after_s", Resend)
	only("most", Resend)
	only("rate", Resend)
	only("hours", Resend)
	only("after_age_s", Discard)
	switch r.Action {
	case Resend:
		if r.Most < 2 {
			d.AddError(at+".most", "%d lives in all leave no resend; 2 at least, the first one counted", r.Most)
		}
		if !(r.Rate > 0) {
			d.AddError(at+".rate", "is missing: how many a second a partner gets at most")
		}
	case Discard:
		if !(r.Age > 0) {
			d.AddError(at+".after_age_s", "is missing: nothing is discarded without an age")
		}
	}
	if r.Hours == "" {
		return
	}
	var err error
	if r.hours, err = parseHours(r.Hours); err != nil {
		d.AddError(at+".hours", "%v", err)
	}
}

// parseHours reads "08:00-18:30". A span may go over midnight.
func parseHours(text string) (span [2]time.Duration, err error) {
	from, to, ok := strings.Cut(text, "-")
	if !ok {
		return span, fmt.Errorf("%q is no span such as \"08:00-18:30\"", text)
	}
	for i, part := range []string{from, to} {
		t, err := time.Parse("15:04", strings.TrimSpace(part))
		if err != nil {
			return span, fmt.Errorf("%q is no time of the day such as 08:00", part)
		}
		span[i] = time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
	}
	if span[0] == span[1] {
		return span, fmt.Errorf("%q is a span of nothing", text)
	}
	return span, nil
}

// inHours tells whether a rule's hours are on, and if not when they begin.
func (r *Rule) inHours(now time.Time) (bool, time.Time) {
	if r.Hours == "" {
		return true, now
	}
	midnight := time.Date(now.Year(), now.Month(), now.Day(), 0, 0, 0, 0, now.Location())
	at, from, to := now.Sub(midnight), r.hours[0], r.hours[1]
	if from < to && at >= from && at < to || from > to && (at >= from || at < to) {
		return true, now
	}
	if at >= from {
		midnight = midnight.Add(day)
	}
	return false, midnight.Add(from)
}

// matches tells whether a rule is for a message, old as it is.
func (r *Rule) matches(rec *Record, now time.Time) bool {
	return r.matchesAttributes(rec) && (r.OlderThan == 0 || now.Sub(rec.Last().Over) >= seconds(r.OlderThan))
}

// matchesAttributes tells whether a rule is for a message once that is old enough.
func (r *Rule) matchesAttributes(rec *Record) bool {
	last := rec.Last()
	switch {
	case r.Class != "" && r.Class != rec.Class,
		r.Tenant != "" && r.Tenant != rec.Tenant,
		r.Partner != nil && *r.Partner != rec.Partner,
		r.Reason != "" && Reason(r.Reason) != last.Reason,
		r.MayHaveRun != nil && *r.MayHaveRun != (rec.MayHaveRun() != nil):
		return false
	}
	return true
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// Plan is what the rules make of a message at a time.
type Plan struct {
	Action string
	Rule   int       // from 1; 0: no rule matched
	At     time.Time // when to act, or to look again; zero: never by itself
	Rate   float64   // resend: a second and partner
	Why    string
	Use    *Attest // resend: the attest that it takes
}

// Decide says what the rules make of a message: the first that matches decides, and none that does is hold. A resend
// that its class forbids is held, whatever the rule says.
func Decide(rules []Rule, c *Class, rec *Record, newer Newer, now time.Time) Plan {
	if rec.Kept {
		return Plan{Action: Hold, Why: rec.Why}
	}
	for i := range rules {
		r := &rules[i]
		if !r.matches(rec, now) {
			continue
		}
		p := r.plan(c, rec, newer, now)
		p.Rule = i + 1
		// A rule before it may come to match when the message is older.
		if at := nextMatch(rules[:i], rec, now); p.Action == Hold && !at.IsZero() && (p.At.IsZero() || at.Before(p.At)) {
			p.At = at
		}
		return p
	}
	return Plan{Action: Hold, Why: "no rule matches it", At: nextMatch(rules, rec, now)}
}

// nextMatch is when a rule may come to match that does not yet, since it waits for an age.
func nextMatch(rules []Rule, rec *Record, now time.Time) (at time.Time) {
	for i := range rules {
		if due := rec.Last().Over.Add(seconds(rules[i].OlderThan)); rules[i].OlderThan > 0 && rules[i].matchesAttributes(rec) && due.After(now) && (at.IsZero() || due.Before(at)) {
			at = due
		}
	}
	return at
}

func (r *Rule) plan(c *Class, rec *Record, newer Newer, now time.Time) Plan {
	switch r.Action {
	case Discard:
		due := rec.Lives[0].Taken.Add(seconds(r.Age))
		if due.After(now) {
			return Plan{Action: Hold, At: due, Why: "it will be discarded at " + due.Format(time.RFC3339)}
		}
		return Plan{Action: Discard, At: now, Why: fmt.Sprintf("it is older than %v", seconds(r.Age))}
	case Resend:
		return r.resend(c, rec, newer, now)
	}
	return Plan{Action: Hold, Why: "a rule holds it"}
}

func (r *Rule) resend(c *Class, rec *Record, newer Newer, now time.Time) Plan {
	v := Allowed(c, rec, newer, now)
	switch {
	case v.Superseded != "":
		return Plan{Action: string(Superseded), At: now, Why: v.Why}
	case !v.Allowed:
		return Plan{Action: Hold, At: v.Again, Why: v.Why}
	case len(rec.Lives) >= r.Most:
		return Plan{Action: Hold, Why: fmt.Sprintf("it has had %d lives, the rule's most", len(rec.Lives))}
	}
	if due := rec.Last().Over.Add(seconds(r.After)); due.After(now) {
		return Plan{Action: Hold, At: due, Why: "it will be resent after " + due.Format(time.RFC3339)}
	}
	if on, from := r.inHours(now); !on {
		return Plan{Action: Hold, At: from, Why: "it will be resent in the rule's hours, from " + from.Format(time.RFC3339)}
	}
	return Plan{Action: Resend, At: now, Rate: r.Rate, Why: v.Why, Use: v.Attest}
}

// Against reports in plain words what in a rule can never be: a resend that the classes it is for do not allow.
func (r *Rule) Against(classes []Class) (faults []string) {
	if r.Action != Resend {
		return nil
	}
	found := false
	for _, c := range classes {
		if r.Class != "" && r.Class != c.Name {
			continue
		}
		found = true
		named := r.Class != "" // a rule for all classes is held where a class forbids; one that names it is a mistake
		may := r.MayHaveRun != nil && *r.MayHaveRun || r.Reason == string(Doubtful)
		switch {
		case named && may && c.Effect == Unsafe:
			faults = append(faults, fmt.Sprintf("resends %s messages that may have run, and that class may not be repeated: only an attest allows it", c.Name))
		case named && may && c.Effect == Keyed && seconds(max(r.After, r.OlderThan))+keyMargin >= c.Memory:
			faults = append(faults, fmt.Sprintf("resends %s messages that may have run after %v s, and partners remember a key for %v only", c.Name, max(r.After, r.OlderThan), c.Memory))
		}
		if named && r.Most > c.Attempts {
			faults = append(faults, fmt.Sprintf("allows %d lives, and class %s is allowed %d attempts in all", r.Most, c.Name, c.Attempts))
		}
	}
	if !found {
		faults = append(faults, fmt.Sprintf("is for class %q, which the relay does not have", r.Class))
	}
	return faults
}
