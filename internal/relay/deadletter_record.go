package relay

import (
	"frostlink/internal/deadletter"
	"frostlink/policy"
)

// incarnation returns the store's record of one acceptance of a request, with the attempts and the outcome that followed.
func (d *deadLetterLink) incarnation(r *request) deadletter.Incarnation {
	incarnation := deadletter.Incarnation{
		ID: r.ID, Relay: d.loop.cfg.Name, AcceptedAt: r.AcceptedAt.Time(), Deadline: r.Deadline.Time(), CompletedAt: r.CompletedAt.Time(),
		Reason: deadletter.Reason(r.Reason), Status: r.PendingNotice.Status,
	}
	if incarnation.AcceptedAt.IsZero() { // accepted by a process without a dead-letter store
		incarnation.AcceptedAt = incarnation.CompletedAt
	}
	for _, a := range r.Attempts {
		executed := deadletter.ExecutionUnknown // includes an attempt that was in flight when a process ended
		switch {
		case a.Ended && a.NotExecuted:
			executed = deadletter.NotExecuted
		case a.Outcome == outcomeNames[policy.Succeeded]:
			executed = deadletter.Executed
		}
		incarnation.Attempts = append(incarnation.Attempts, deadletter.Attempt{
			Endpoint: a.Endpoint, StartedAt: a.StartedAt.Time(), EndedAt: a.EndedAt.Time(), Outcome: a.Outcome, Execution: executed,
		})
	}
	return incarnation
}

// rejectedIncarnation returns the store's record of the rejection of a request that was never accepted.
func (d *deadLetterLink) rejectedIncarnation(r *request, status string) deadletter.Incarnation {
	return deadletter.Incarnation{
		ID: r.ID, Relay: d.loop.cfg.Name, AcceptedAt: r.AcceptedAt.Time(), Deadline: r.Deadline.Time(), CompletedAt: d.loop.timeline.Now().Time(),
		Reason: deadletter.RejectedOnArrival, Status: status,
	}
}

// record returns the store's record of a request that was not delivered.
func (r *request) record(inc deadletter.Incarnation) deadletter.Message {
	return deadletter.Message{
		Record: deadletter.Record{
			ID: r.ID, Class: r.Class, Tenant: r.Tenant, Destination: r.Destination, IdempotencyKey: r.IdempotencyKey, OrderKey: r.OrderKey,
			Subject: r.Subject, Order: r.Order, Incarnations: []deadletter.Incarnation{inc}, State: deadletter.Held, Since: inc.CompletedAt, Due: inc.CompletedAt,
		},
		Body: r.Body,
	}
}

// result returns the store's record of the result of a redelivery whose outcome is decided.
func (d *deadLetterLink) result(r *request) deadletter.Result {
	result := deadletter.Result{Incarnation: d.incarnation(r), Delivered: r.PendingNotice.Status == redeliveryDelivered}
	if r.PendingNotice.Status == redeliverySuperseded {
		result.Incarnation.Reason, result.Overtaken = deadletter.OvertakenByNewer, r.Reason // the newer request's id
	}
	return result
}
