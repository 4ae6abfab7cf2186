package relay

import (
	"frostlink/internal/deadletter"
	"frostlink/policy"
)

// life returns what this relay knows of one time that a request was accepted.
func (d *deadLetterLink) life(r *request) deadletter.Incarnation {
	life := deadletter.Incarnation{
		ID: r.ID, Relay: d.loop.cfg.Name, AcceptedAt: r.AcceptedAt.Time(), Deadline: r.Deadline.Time(), CompletedAt: r.CompletedAt.Time(),
		Reason: deadletter.Reason(r.Reason), Status: r.PendingNotice.Status,
	}
	if life.AcceptedAt.IsZero() { // accepted by a process without a dead-letter store
		life.AcceptedAt = life.CompletedAt
	}
	for _, a := range r.Attempts {
		executed := deadletter.ExecutionUnknown // also of one that was in flight when a process ended
		switch {
		case a.Ended && a.NotExecuted:
			executed = deadletter.NotExecuted
		case a.Outcome == outcomeNames[policy.Succeeded]:
			executed = deadletter.Executed
		}
		life.Attempts = append(life.Attempts, deadletter.Attempt{
			Endpoint: a.Endpoint, StartedAt: a.StartedAt.Time(), EndedAt: a.EndedAt.Time(), Outcome: a.Outcome, Execution: executed,
		})
	}
	return life
}

// rejectedLife returns what the store records of a request that was never accepted.
func (d *deadLetterLink) rejectedLife(r *request, status string) deadletter.Incarnation {
	return deadletter.Incarnation{
		ID: r.ID, Relay: d.loop.cfg.Name, AcceptedAt: r.AcceptedAt.Time(), Deadline: r.Deadline.Time(), CompletedAt: d.loop.timeline.Now().Time(),
		Reason: deadletter.RejectedOnArrival, Status: status,
	}
}

// record returns the store's record of a request that was not delivered.
func (r *request) record(life deadletter.Incarnation) deadletter.Message {
	return deadletter.Message{
		Record: deadletter.Record{
			ID: r.ID, Class: r.Class, Tenant: r.Tenant, Destination: r.Destination, IdempotencyKey: r.IdempotencyKey, OrderKey: r.OrderKey,
			Subject: r.Subject, Order: r.Order, Incarnations: []deadletter.Incarnation{life}, State: deadletter.Held, Since: life.CompletedAt, Due: life.CompletedAt,
		},
		Body: r.Body,
	}
}

// result returns what the store records of a redelivery whose outcome is decided.
func (d *deadLetterLink) result(r *request) deadletter.Result {
	result := deadletter.Result{Incarnation: d.life(r), Delivered: r.PendingNotice.Status == redeliveryDelivered}
	if r.PendingNotice.Status == redeliverySuperseded {
		result.Incarnation.Reason, result.Overtaken = deadletter.OvertakenByNewer, r.Reason // the newer request's id
	}
	return result
}
