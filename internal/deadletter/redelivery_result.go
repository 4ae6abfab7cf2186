package deadletter

import (
	"errors"
	"fmt"
	"time"
)

// handleLost looks at a redelivery whose time is long over. Where the relay does not have it, it is not known whether it was sent:
// its process was killed before it was journalled, or its machine was lost with the journal.
func (r *Redeliverer) handleLost(rec *Record, now time.Time, holds func(id string) bool) error {
	if holds(rec.Last().ID) {
		return r.store.Change(rec.ID, func(*Record) (time.Time, error) { return now.Add(lostAfter), nil })
	}
	life := *rec.Last()
	life.CompletedAt, life.Reason, life.Status = now, ProcessEnded, "unknown"
	life.Attempts = append(life.Attempts, Attempt{StartedAt: life.AcceptedAt, Outcome: "unknown", Execution: ExecutionUnknown})
	return r.HandleResults([]Result{{Incarnation: life}}, now)
}

// HandleResults takes in what became of redeliveries. A repeated one changes nothing.
func (r *Redeliverer) HandleResults(results []Result, now time.Time) error {
	for i := range results {
		res := &results[i]
		partner, news := 0, false
		err := r.store.Change(res.Incarnation.ID, func(rec *Record) (time.Time, error) {
			if rec.State != Redelivering || rec.Last().ID != res.Incarnation.ID {
				return rec.Due, nil // known already
			}
			partner, news = rec.Destination, true
			return rec.applyResult(res, now), nil
		})
		if errors.Is(err, ErrUnknown) {
			continue // its record left by a bound, or the store is another one
		}
		if err != nil {
			return err
		}
		if news {
			r.throttle(partner, now).handleResult(res, now)
		}
	}
	return nil
}

// applyResult changes a record by the result of its redelivery, and returns when to look at it again.
func (r *Record) applyResult(res *Result, now time.Time) time.Time {
	r.Since, r.RequestedByOperator = now, r.RequestedByOperator && len(res.Incarnation.Attempts) == 0
	switch {
	case res.Delivered:
		r.endIncarnation(res)
		r.State, r.Reason = Delivered, "delivered as "+r.Last().ID
		return time.Time{}
	case res.Overtaken != "" && len(res.Incarnation.Attempts) > 0: // in flight already: whether it had its effect is not known
		r.endIncarnation(res)
		r.State, r.Reason = Superseded, fmt.Sprintf("%s, newer of %q, came while its resend was out", res.Overtaken, r.Subject)
		return time.Time{}
	case len(res.Incarnation.Attempts) == 0:
		r.cancelIncarnation()
		r.Reason = "the relay had no room for it"
		if res.Overtaken != "" {
			r.State, r.Reason = Superseded, fmt.Sprintf("a newer message of %q, %s, has overtaken it", r.Subject, res.Overtaken)
			return time.Time{}
		}
	default:
		r.endIncarnation(res)
		r.Reason = fmt.Sprintf("its resend %s was not delivered: %s", r.Last().ID, r.Last().Reason)
	}
	r.State = Held
	if r.RequestedByOperator {
		r.State = Due
	}
	return now
}

// endIncarnation replaces the latest incarnation by what a redelivery has made of it.
func (r *Record) endIncarnation(res *Result) {
	attest := r.Last().Attestation
	*r.Last() = res.Incarnation
	r.Last().Attestation = attest
}

// cancelIncarnation drops the latest incarnation: it never left the relay, and no attestation is used up by it.
func (r *Record) cancelIncarnation() {
	attest := r.Last().Attestation
	r.Incarnations = r.Incarnations[:len(r.Incarnations)-1]
	if attest == nil {
		return
	}
	for i := range r.Attestations {
		if a := &r.Attestations[i]; a.At.Equal(attest.At) && a.By == attest.By {
			a.Used = false
		}
	}
}
