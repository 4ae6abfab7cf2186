package deadletter

import (
	"fmt"
	"time"
)

// Plan is the decision of the rules on a message at a given time.
type Plan struct {
	Action      Action
	Rule        int       // number of the rule that decided, from 1; 0: no rule matched
	At          time.Time // when to act or to decide again; zero: time alone does not change the decision
	Rate        float64   // redeliveries per second to the destination
	Reason      string
	Attestation *Attestation // the attestation that a redelivery uses up; nil: none
}

// Decide applies rules to a message. The first rule that matches decides. A message is held if no rule matches it, or if a
// rule redelivers it but its class does not allow that.
func Decide(rules []Rule, c *Class, rec *Record, newer Newer, now time.Time) Plan {
	if rec.HeldByOperator {
		return Plan{Action: Hold, Reason: rec.Reason}
	}
	for i := range rules {
		r := &rules[i]
		if !r.matches(rec, now) {
			continue
		}
		plan := r.plan(c, rec, newer, now)
		plan.Rule = i + 1
		// An earlier rule may match once the message is older.
		if at := nextMatch(rules[:i], rec, now); plan.Action == Hold && !at.IsZero() && (plan.At.IsZero() || at.Before(plan.At)) {
			plan.At = at
		}
		return plan
	}
	return Plan{Action: Hold, Reason: "no rule matches it", At: nextMatch(rules, rec, now)}
}

// nextMatch returns the next time at which the message becomes old enough for one of the rules; zero if there is none.
func nextMatch(rules []Rule, rec *Record, now time.Time) (next time.Time) {
	for i := range rules {
		r := &rules[i]
		if r.OlderThan <= 0 || !r.matchesAttributes(rec) {
			continue
		}
		at := rec.Last().CompletedAt.Add(seconds(r.OlderThan))
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// plan returns the decision of a rule on a message that it matches.
func (r *Rule) plan(c *Class, rec *Record, newer Newer, now time.Time) Plan {
	switch r.Action {
	case Discard:
		due := rec.Incarnations[0].AcceptedAt.Add(seconds(r.DiscardAge))
		if due.After(now) {
			return Plan{Action: Hold, At: due, Reason: "it will be discarded at " + due.Format(time.RFC3339)}
		}
		return Plan{Action: Discard, At: now, Reason: fmt.Sprintf("it is older than %v", seconds(r.DiscardAge))}
	case Redeliver:
		return r.planRedelivery(c, rec, newer, now)
	default:
		return Plan{Action: Hold, Reason: "a rule holds it"}
	}
}

// planRedelivery returns the decision of a rule whose action is Redeliver.
func (r *Rule) planRedelivery(c *Class, rec *Record, newer Newer, now time.Time) Plan {
	permission := Allowed(c, rec, newer, now)
	switch {
	case permission.Superseded != "":
		return Plan{Action: supersede, At: now, Reason: permission.Reason}
	case !permission.Allowed:
		return Plan{Action: Hold, At: permission.RetryAt, Reason: permission.Reason}
	case len(rec.Incarnations) >= r.MaxIncarnations:
		return Plan{Action: Hold, Reason: fmt.Sprintf("it has had %d lives, the rule's most", len(rec.Incarnations))}
	}
	if due := rec.Last().CompletedAt.Add(seconds(r.Delay)); due.After(now) {
		return Plan{Action: Hold, At: due, Reason: "it will be resent after " + due.Format(time.RFC3339)}
	}
	if in, from := r.inHours(now); !in {
		return Plan{Action: Hold, At: from, Reason: "it will be resent in the rule's hours, from " + from.Format(time.RFC3339)}
	}
	return Plan{Action: Redeliver, At: now, Rate: r.Rate, Reason: permission.Reason, Attestation: permission.Attestation}
}
