package deadletter

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// unknown is the status of a lost redelivery, and the outcome of the attempt that is assumed for it.
const unknown = "unknown"

// handleLost ends a redelivery whose deadline is long past, unless the relay still has it in flight. A redelivery is lost if
// the process is killed before the redelivery is journalled, or if the machine is lost together with the journal. Whether the
// redelivery was sent is unknown.
func (r *Redeliverer) handleLost(rec *Record, now time.Time, inFlight func(id string) bool) error {
	if inFlight(rec.Last().ID) {
		return r.store.Change(rec.ID, func(*Record) (time.Time, error) { return now.Add(lostAfter), nil })
	}
	return r.HandleResults([]Result{{Incarnation: rec.Last().lost(now)}}, now)
}

// lost returns an incarnation whose result is not known as it counts: with an attempt that may have been executed.
func (i *Incarnation) lost(now time.Time) Incarnation {
	lost := *i
	lost.CompletedAt, lost.Reason, lost.Status = now, ProcessEnded, unknown
	lost.Attempts = append(slices.Clone(i.Attempts), Attempt{StartedAt: i.AcceptedAt, Outcome: unknown, Execution: ExecutionUnknown})
	return lost
}

// HandleResults stores the results of redeliveries. It ignores a result that was stored before.
func (r *Redeliverer) HandleResults(results []Result, now time.Time) error {
	for i := range results {
		result := &results[i]
		destination, applied := 0, false
		err := r.store.Change(result.Incarnation.ID, func(rec *Record) (time.Time, error) {
			if rec.State != Redelivering || rec.Last().ID != result.Incarnation.ID {
				return rec.Due, nil // the result was applied before
			}
			destination, applied = rec.Destination, true
			return rec.applyResult(result, now), nil
		})
		if errors.Is(err, ErrUnknown) {
			continue // the record was removed by a bound, or the redelivery came from another store
		}
		if err != nil {
			return err
		}
		if applied {
			r.throttle(destination, now).handleResult(result, now)
		}
	}
	return nil
}

// applyResult changes a record according to the result of its redelivery, and returns when the record is due next.
func (r *Record) applyResult(result *Result, now time.Time) time.Time {
	r.Since, r.RequestedByOperator = now, r.RequestedByOperator && len(result.Incarnation.Attempts) == 0
	switch {
	case result.Delivered:
		r.endIncarnation(result)
		r.State, r.Reason = Delivered, "delivered as "+r.Last().ID
		return time.Time{}
	case result.Overtaken != "" && len(result.Incarnation.Attempts) > 0: // it was sent already, and may have been executed
		r.endIncarnation(result)
		r.State, r.Reason = Superseded, fmt.Sprintf("%s, newer of %q, came while its resend was out", result.Overtaken, r.Subject)
		return time.Time{}
	case len(result.Incarnation.Attempts) == 0:
		r.cancelIncarnation()
		r.Reason = "the relay had no room for it"
		if result.Overtaken != "" {
			r.State, r.Reason = Superseded, fmt.Sprintf("a newer message of %q, %s, has overtaken it", r.Subject, result.Overtaken)
			return time.Time{}
		}
	default:
		r.endIncarnation(result)
		r.Reason = fmt.Sprintf("its resend %s was not delivered: %s", r.Last().ID, r.Last().Reason)
	}
	r.State = Held
	if r.RequestedByOperator {
		r.State = Due
	}
	return now
}

// endIncarnation replaces the latest incarnation with the incarnation of a result, but keeps the attestation.
func (r *Record) endIncarnation(result *Result) {
	attestation := r.Last().Attestation
	*r.Last() = result.Incarnation
	r.Last().Attestation = attestation
}

// cancelIncarnation removes the latest incarnation, which was never sent, and marks its attestation as unused again.
func (r *Record) cancelIncarnation() {
	attestation := r.Last().Attestation
	r.Incarnations = r.Incarnations[:len(r.Incarnations)-1]
	if attestation == nil {
		return
	}
	for i := range r.Attestations {
		if a := &r.Attestations[i]; a.At.Equal(attestation.At) && a.By == attestation.By {
			a.Used = false
		}
	}
}
