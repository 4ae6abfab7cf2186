package checker

import (
	"slices"
	"time"
)

// storedDelivered is the state of a dead letter that a redelivery has delivered.
const storedDelivered = "delivered"

// notStored is the state under which messages that a store lists as dropped are counted.
const notStored = "not kept"

// DeadLetter is a message in a relay's dead-letter store at the end of a run.
type DeadLetter struct {
	Relay       int
	IDs         []string // the ids of all its incarnations
	State       string   // held, due, out, delivered, superseded or discarded
	Reason      string
	NotExecuted []string // ids of the incarnations for which the store states that no attempt can have been executed
}

// CheckStores checks the dead-letter stores of all relays against the log: each request that was accepted and failed is stored
// exactly once, no request that is stored as not executed was executed, and each message that is stored as delivered was delivered.
// dropped holds the ids that a store lists as dropped. CheckStores returns the number of dead letters in each state.
func (r *Report) CheckStores(parameters Parameters, log []Event, letters []DeadLetter, dropped []string, end time.Duration) map[string]int {
	h := readHistory(parameters, byTime(log), end)
	h.violations = nil // Judge has already reported the violations found while reading the log
	states, timesStored := map[string]int{}, map[string]int{}
	for _, letter := range letters {
		states[letter.State]++
		for _, id := range letter.IDs {
			timesStored[id]++
		}
		h.checkStored(letter)
	}
	for _, id := range dropped {
		timesStored[id]++
		states[notStored]++
	}
	for _, request := range h.requests {
		h.checkStoredOnce(request, timesStored[request.id])
	}
	r.Violations = append(r.Violations, h.violations...)
	return states
}

// checkStored checks one dead letter of a store.
func (h *history) checkStored(letter DeadLetter) {
	delivered := false
	for _, id := range letter.IDs {
		r := h.requestsByID[id]
		if r == nil {
			continue // a redelivery that was rejected before its first attempt: the log has no event of it
		}
		delivered = delivered || r.deliveredAt >= 0
		if slices.Contains(letter.NotExecuted, id) && r.executions > 0 {
			h.report(DeadLetterWrong, h.end, id, letter.Relay, r.destination, "kept as never run, and it had its effect")
		}
	}
	first := h.requestsByID[letter.IDs[0]]
	if first == nil {
		h.report(DeadLetterWrong, h.end, letter.IDs[0], letter.Relay, -1, "kept, and nobody handed it in")
		return
	}
	wrong := func(format string, args ...any) {
		h.report(DeadLetterWrong, h.end, letter.IDs[0], letter.Relay, first.destination, format, args...)
	}
	switch {
	case letter.State == storedDelivered && !delivered:
		wrong("kept as delivered, and no partner answered so")
	case first.accepted && !first.redelivery && len(first.notices) == 0 && first.machineLostAt < 0:
		wrong("kept as %s, and it was not given up", letter.State)
	case letter.Reason == "":
		wrong("kept as %s without a reason", letter.State)
	}
}

// checkStoredOnce checks that a request is stored exactly once if it was accepted and failed, and at most once otherwise.
func (h *history) checkStoredOnce(r *request, times int) {
	failed := r.accepted && len(r.notices) > 0 && r.machineLostAt < 0
	switch {
	case r.fromStore && times == 0:
		h.reportRequest(DeadLetterMissing, h.end, r, "it was in the store before the run, and is no more")
	case failed && times == 0:
		h.reportRequest(DeadLetterMissing, r.notices[0].At, r, "given up as %s, and in no store", r.notices[0].State)
	case times > 1:
		h.reportRequest(DeadLetterWrong, h.end, r, "kept %d times", times)
	}
}
