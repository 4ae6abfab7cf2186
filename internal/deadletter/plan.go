package deadletter

import (
	"fmt"
	"time"
)

// Plan is what the rules make of a message at a time.
type Plan struct {
	Action      string
	Rule        int       // from 1; 0: no rule matched
	At          time.Time // when to act, or to look again; zero: never by itself
	Rate        float64   // resend: a second and destination
	Reason      string
	Attestation *Attestation // resend: the attest that it takes
}

// Decide says what the rules make of a message: the first that matches decides, and none that does is hold. A redelivery
// that its class forbids is held, whatever the rule says.
func Decide(rules []Rule, c *Class, rec *Record, newer Newer, now time.Time) Plan {
	if rec.HeldByOperator {
		return Plan{Action: Hold, Reason: rec.Reason}
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
	return Plan{Action: Hold, Reason: "no rule matches it", At: nextMatch(rules, rec, now)}
}

// nextMatch is when a rule may come to match that does not yet, since it waits for an age.
func nextMatch(rules []Rule, rec *Record, now time.Time) (at time.Time) {
	for i := range rules {
		if due := rec.Last().CompletedAt.Add(seconds(rules[i].OlderThan)); rules[i].OlderThan > 0 && rules[i].matchesAttributes(rec) && due.After(now) && (at.IsZero() || due.Before(at)) {
			at = due
		}
	}
	return at
}

func (r *Rule) plan(c *Class, rec *Record, newer Newer, now time.Time) Plan {
	switch r.Action {
	case Discard:
		due := rec.Incarnations[0].AcceptedAt.Add(seconds(r.DiscardAge))
		if due.After(now) {
			return Plan{Action: Hold, At: due, Reason: "it will be discarded at " + due.Format(time.RFC3339)}
		}
		return Plan{Action: Discard, At: now, Reason: fmt.Sprintf("it is older than %v", seconds(r.DiscardAge))}
	case Redeliver:
		return r.resend(c, rec, newer, now)
	}
	return Plan{Action: Hold, Reason: "a rule holds it"}
}

func (r *Rule) resend(c *Class, rec *Record, newer Newer, now time.Time) Plan {
	v := Allowed(c, rec, newer, now)
	switch {
	case v.Superseded != "":
		return Plan{Action: string(Superseded), At: now, Reason: v.Reason}
	case !v.Allowed:
		return Plan{Action: Hold, At: v.RetryAt, Reason: v.Reason}
	case len(rec.Incarnations) >= r.MaxIncarnations:
		return Plan{Action: Hold, Reason: fmt.Sprintf("it has had %d lives, the rule's most", len(rec.Incarnations))}
	}
	if due := rec.Last().CompletedAt.Add(seconds(r.Delay)); due.After(now) {
		return Plan{Action: Hold, At: due, Reason: "it will be resent after " + due.Format(time.RFC3339)}
	}
	if on, from := r.inHours(now); !on {
		return Plan{Action: Hold, At: from, Reason: "it will be resent in the rule's hours, from " + from.Format(time.RFC3339)}
	}
	return Plan{Action: Redeliver, At: now, Rate: r.Rate, Reason: v.Reason, Attestation: v.Attestation}
}
