package checker

import (
	"slices"
	"time"
)

// DeadLetter is a message as a relay's dead-letter store has it at the end of a run.
type DeadLetter struct {
	Relay       int
	IDs         []string // of all its incarnations
	State       string   // held, due, out, delivered, superseded or discarded
	Reason      string
	NotExecuted []string // ids of its incarnations in which it states that no attempt can have been executed
}

// CheckStores checks the dead-letter stores against the log: each request that was accepted and given up is in the store of its relay,
// once; what is stored as never executed was not; what is stored as delivered was. unkept are ids that a store lists as not
// kept. It returns the count of each state.
func (r *Report) CheckStores(f Parameters, log []Event, kept []DeadLetter, unkept []string, end time.Duration) map[string]int {
	h := readHistory(f, byTime(log), end)
	h.violations = nil // those of reading are Judge's
	states, stored := map[string]int{}, map[string]int{}
	for _, k := range kept {
		states[k.State]++
		for _, id := range k.IDs {
			stored[id]++
		}
		h.checkStored(k)
	}
	for _, id := range unkept {
		stored[id]++
		states["not kept"]++
	}
	for _, request := range h.requests {
		h.checkStoredOnce(request, stored[request.id])
	}
	r.Violations = append(r.Violations, h.violations...)
	return states
}

// checkStored checks what a store says of one message.
func (h *history) checkStored(k DeadLetter) {
	delivered := false
	for _, id := range k.IDs {
		r := h.requestsByID[id]
		if r == nil {
			continue // it was rejected before its first attempt
		}
		delivered = delivered || r.deliveredAt >= 0
		if slices.Contains(k.NotExecuted, id) && r.effects > 0 {
			h.report(DeadLetterWrong, h.end, id, k.Relay, r.destination, "kept as never run, and it had its effect")
		}
	}
	first := h.requestsByID[k.IDs[0]]
	if first == nil {
		h.report(DeadLetterWrong, h.end, k.IDs[0], k.Relay, -1, "kept, and nobody handed it in")
		return
	}
	wrong := func(format string, args ...any) {
		h.report(DeadLetterWrong, h.end, k.IDs[0], k.Relay, first.destination, format, args...)
	}
	switch {
	case k.State == "delivered" && !delivered:
		wrong("kept as delivered, and no partner answered so")
	case first.accepted && !first.redelivery && len(first.notices) == 0 && first.machineLostAt < 0:
		wrong("kept as %s, and it was not given up", k.State)
	case k.Reason == "":
		wrong("kept as %s without a reason", k.State)
	}
}

// checkStoredOnce checks how often a request is stored: once if it was given up, else at most once.
func (h *history) checkStoredOnce(r *request, times int) {
	givenUp := r.accepted && len(r.notices) > 0 && r.machineLostAt < 0
	switch {
	case r.fromStore && times == 0:
		h.reportRequest(DeadLetterMissing, h.end, r, "it was in the store before the run, and is no more")
	case givenUp && times == 0:
		h.reportRequest(DeadLetterMissing, r.notices[0].At, r, "given up as %s, and in no store", r.notices[0].State)
	case times > 1:
		h.reportRequest(DeadLetterWrong, h.end, r, "kept %d times", times)
	}
}
