package relay

import (
	"frostlink/internal/deadletter"
	"frostlink/policy"
)

// life returns what this relay knows of one time that a request was accepted.
func (d *deadLetterLink) life(r *request) deadletter.Life {
	life := deadletter.Life{
		ID: r.ID, Relay: d.loop.cfg.Name, Taken: r.AcceptedAt.Time(), Expires: r.Deadline.Time(), Over: r.CompletedAt.Time(),
		Reason: deadletter.Reason(r.Reason), Status: r.PendingNotice.Status,
	}
	if life.Taken.IsZero() { // accepted by a process without a dead-letter store
		life.Taken = life.Over
	}
	for _, a := range r.Attempts {
		executed := deadletter.May // also of one that was in flight when a process ended
		switch {
		case a.Ended && a.NotExecuted:
			executed = deadletter.Never
		case a.Outcome == outcomeNames[policy.Succeeded]:
			executed = deadletter.Did
		}
		life.Attempts = append(life.Attempts, deadletter.Attempt{
			Host: a.Endpoint, Begun: a.StartedAt.Time(), Ended: a.EndedAt.Time(), Outcome: a.Outcome, Ran: executed,
		})
	}
	return life
}

// rejectedLife returns what the store records of a request that was never accepted.
func (d *deadLetterLink) rejectedLife(r *request, status string) deadletter.Life {
	return deadletter.Life{
		ID: r.ID, Relay: d.loop.cfg.Name, Taken: r.AcceptedAt.Time(), Expires: r.Deadline.Time(), Over: d.loop.timeline.Now().Time(),
		Reason: deadletter.AtArrival, Status: status,
	}
}

// record returns the store's record of a request that was not delivered.
func (r *request) record(life deadletter.Life) deadletter.Kept {
	return deadletter.Kept{
		Record: deadletter.Record{
			ID: r.ID, Class: r.Class, Tenant: r.Tenant, Partner: r.Destination, Key: r.IdempotencyKey, Item: r.OrderKey,
			Subject: r.Subject, Order: r.Order, Lives: []deadletter.Life{life}, State: deadletter.Held, Since: life.Over, Due: life.Over,
		},
		Body: r.Body,
	}
}

// result returns what the store records of a redelivery whose outcome is decided.
func (d *deadLetterLink) result(r *request) deadletter.Result {
	result := deadletter.Result{Life: d.life(r), Delivered: r.PendingNotice.Status == redeliveryDelivered}
	if r.PendingNotice.Status == redeliverySuperseded {
		result.Life.Reason, result.Overtaken = deadletter.Overtaken, r.Reason // the newer request's id
	}
	return result
}
