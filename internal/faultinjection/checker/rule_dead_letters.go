package checker

import (
	"slices"
	"time"
)

// storedDelivered is the state of a dead letter that was delivered by a redelivery.
const storedDelivered = "delivered"

// notStored is counted as the state of messages that a store lists as dropped.
const notStored = "not kept"

// DeadLetter is a message as a relay's dead-letter store has it at the end of a run.
type DeadLetter struct {
	Relay       int
	IDs         []string // of all its incarnations
	State       string   // held, due, out, delivered, superseded or discarded
	Reason      string
	NotExecuted []string // ids of the incarnations of which the store says that no attempt can have been executed
}

// CheckStores checks the dead-letter stores of all relays against the log: each request that was accepted and failed is stored
// once; what is stored as not executed was not; what is stored as delivered was. dropped are ids that a store lists as dropped.
// It returns the count of each state.
func (r *Report) CheckStores(parameters Parameters, log []Event, letters []DeadLetter, dropped []string, end time.Duration) map[string]int {
	h := readHistory(parameters, byTime(log), end)
	h.violations = nil // Judge has reported those of reading
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

// checkStored checks what a store has of one message.
func (h *history) checkStored(letter DeadLetter) {
	delivered := false
	for _, id := range letter.IDs {
		r := h.requestsByID[id]
		if r == nil {
			continue // it was rejected before its first attempt
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

// checkStoredOnce checks how often a request is stored: once if it failed after it was accepted, else at most once.
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
