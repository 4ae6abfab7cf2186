package deadletter

import (
	"errors"
	"fmt"
	"time"
)

// handleLost looks at a resend whose time is long over. Where the relay does not have it, it can't be told whether it went:
// its process was killed before it was journalled, or its machine was lost with the journal.
func (r *Resender) handleLost(rec *Record, now time.Time, holds func(id string) bool) error {
	if holds(rec.Last().ID) {
		return r.store.Change(rec.ID, func(*Record) (time.Time, error) { return now.Add(lostAfter), nil })
	}
	life := *rec.Last()
	life.Over, life.Reason, life.Status = now, ProcessEnded, "unknown"
	life.Attempts = append(life.Attempts, Attempt{Begun: life.Taken, Outcome: "unknown", Ran: May})
	return r.Return([]Result{{Life: life}}, now)
}

// Return takes in what became of resends. One that is told again changes nothing.
func (r *Resender) Return(results []Result, now time.Time) error {
	for i := range results {
		res := &results[i]
		partner, news := 0, false
		err := r.store.Change(res.Life.ID, func(rec *Record) (time.Time, error) {
			if rec.State != Out || rec.Last().ID != res.Life.ID {
				return rec.Due, nil // told before
			}
			partner, news = rec.Partner, true
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

// applyResult changes a record by what became of its resend, and gives when to look at it again.
func (rec *Record) applyResult(res *Result, now time.Time) time.Time {
	last := rec.Last()
	attest := last.Attest
	rec.Since, rec.Asked = now, rec.Asked && len(res.Life.Attempts) == 0
	switch {
	case res.Delivered:
		*last = res.Life
		last.Attest = attest
		rec.State, rec.Why = Delivered, "delivered as "+last.ID
		return time.Time{}
	case res.Overtaken != "" && len(res.Life.Attempts) > 0: // it was out already: what came of it can't be told
		*last = res.Life
		last.Attest = attest
		rec.State, rec.Why = Superseded, fmt.Sprintf("%s, newer of %q, came while its resend was out", res.Overtaken, rec.Subject)
		return time.Time{}
	case len(res.Life.Attempts) == 0:
		// It never left the relay: that was no life, and no attest is used up by it.
		rec.Lives = rec.Lives[:len(rec.Lives)-1]
		if attest != nil {
			for i := range rec.Attests {
				if a := &rec.Attests[i]; a.At.Equal(attest.At) && a.By == attest.By {
					a.Used = false
				}
			}
		}
		rec.Why = "the relay had no room for it"
		if res.Overtaken != "" {
			rec.State, rec.Why = Superseded, fmt.Sprintf("a newer message of %q, %s, has overtaken it", rec.Subject, res.Overtaken)
			return time.Time{}
		}
	default:
		*last = res.Life
		last.Attest = attest
		rec.Why = fmt.Sprintf("its resend %s was not delivered: %s", last.ID, last.Reason)
	}
	rec.State = Held
	if rec.Asked {
		rec.State = Due
	}
	return now
}
