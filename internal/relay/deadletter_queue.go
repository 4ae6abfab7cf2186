package relay

import (
	"log/slog"
	"slices"

	"frostlink/internal/deadletter"
)

// store wants a message kept.
func (k *deadLetterWriter) store(m deadletter.Kept) {
	k.update(func() { k.records = append(k.records, m) })
}

// addResult wants what became of a resend noted.
func (k *deadLetterWriter) addResult(r deadletter.Result) {
	k.update(func() { k.results = append(k.results, r) })
}

// noteDelivered wants a message noted that was delivered.
func (k *deadLetterWriter) noteDelivered(n deadletter.Note) {
	k.update(func() { k.delivered = append(k.delivered, n) })
}

// recordRejected wants a message counted that was refused at its arrival, and kept where the operator wants that: as many as
// fit, since what is refused is most where there is least room for it.
func (k *deadLetterWriter) recordRejected(m deadletter.Kept) {
	k.update(func() {
		if k.section.Refused && len(k.rejectedRecords) < maxWaitingRejected {
			k.rejectedRecords = append(k.rejectedRecords, m)
		}
		if k.rejectedCounts == nil {
			k.rejectedCounts = map[string]int{}
		}
		k.rejectedCounts[m.Class+" of "+m.Tenant]++
	})
}

// abandon lists a message as not kept, since the journal has no room for it any more, and says so. One that was
// delivered is not noted.
func (k *deadLetterWriter) abandon(m *request) {
	ids := []string{m.ID}
	k.mu.Lock()
	k.unrecorded++
	if m.Delivered {
		k.delivered = slices.DeleteFunc(k.delivered, func(n deadletter.Note) bool { return n.ID == m.ID })
		k.mu.Unlock()
		return
	}
	k.lostCount++
	k.lost = append(k.lost, ids...)
	k.removeWaiting(ids)
	lost := k.lostCount
	k.mu.Unlock()
	k.workAvailable.Signal()
	slog.Error("undelivered messages not kept: the store does not take them, and the journal has no room", "ids", ids, "in all", lost)
}
