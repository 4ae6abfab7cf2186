package relay

import (
	"log/slog"
	"maps"
	"slices"
	"sync"

	"frostlink/internal/deadletter"
	"frostlink/internal/logkey"
)

const (
	// maxBatch records go into the store in one transaction at most.
	maxBatch = 200
	// maxWaitingRejected records of requests that were never accepted wait for the store at most.
	maxWaitingRejected = 2000
)

// deadLetterBatch is what is to be written to the store.
type deadLetterBatch struct {
	records         []deadletter.Message
	results         []deadletter.Result   // of redeliveries
	lost            []string              // ids, to be listed as lost
	delivered       []deadletter.Delivery // of topics
	rejectedCounts  map[string]int        // requests that were never accepted, by class and tenant
	rejectedRecords []deadletter.Message  // the same, where they are kept: in no journal, so that the loop needs no acknowledgement
}

// deadLetterQueue holds what waits for the writer. The loop adds to it and is never held up; the writer removes what the
// store has.
type deadLetterQueue struct {
	keepRejected bool // records of requests that were never accepted are kept, not only counted

	mu      sync.Mutex // guards what follows
	changed sync.Cond  // something waits, or all is at its end
	waiting deadLetterBatch
	polling bool // it is time to look at the bounds and at what is due
	closing bool

	newClasses []deadletter.Class // of new settings, until the writer has taken them over
	lostCount  int                // listed as lost so far
	unrecorded int                // so often something was not recorded: what the store knows of topics begins anew
}

// newDeadLetterQueue returns an empty queue.
func newDeadLetterQueue(keepRejected bool) *deadLetterQueue {
	q := &deadLetterQueue{keepRejected: keepRejected}
	q.changed.L = &q.mu
	return q
}

// update changes what nextBatch waits for.
func (q *deadLetterQueue) update(change func()) {
	q.mu.Lock()
	change()
	q.mu.Unlock()
	q.changed.Broadcast()
}

// addRecord adds a request that was not delivered.
func (q *deadLetterQueue) addRecord(record deadletter.Message) {
	q.update(func() { q.waiting.records = append(q.waiting.records, record) })
}

// addResult adds what became of a redelivery.
func (q *deadLetterQueue) addResult(r deadletter.Result) {
	q.update(func() { q.waiting.results = append(q.waiting.results, r) })
}

// addDelivered adds a request with a subject that was delivered.
func (q *deadLetterQueue) addDelivered(n deadletter.Delivery) {
	q.update(func() { q.waiting.delivered = append(q.waiting.delivered, n) })
}

// addRejected adds a request that was never accepted: it is counted, and its record is kept where the operator wants that.
// As many are kept as fit, since rejections are most frequent where there is least room for them.
func (q *deadLetterQueue) addRejected(record deadletter.Message) {
	q.update(func() {
		if q.keepRejected && len(q.waiting.rejectedRecords) < maxWaitingRejected {
			q.waiting.rejectedRecords = append(q.waiting.rejectedRecords, record)
		}
		if q.waiting.rejectedCounts == nil {
			q.waiting.rejectedCounts = map[string]int{}
		}
		q.waiting.rejectedCounts[record.Class+" of "+record.Tenant]++
	})
}

// addLost lists a request as lost, since the journal has no room for it any more, and logs that. Of one that was delivered
// only the note of its topic is dropped.
func (q *deadLetterQueue) addLost(r *request) {
	ids := []string{r.ID}
	q.mu.Lock()
	q.unrecorded++
	if r.Delivered {
		q.waiting.delivered = slices.DeleteFunc(q.waiting.delivered, func(n deadletter.Delivery) bool { return n.ID == r.ID })
		q.mu.Unlock()
		return
	}
	q.lostCount++
	q.waiting.lost = append(q.waiting.lost, ids...)
	q.removeRecordsLocked(ids)
	lost := q.lostCount
	q.mu.Unlock()
	q.changed.Signal()
	slog.Error("dead letters lost: the store does not accept them and the journal has no room", logkey.RequestIDs, ids, logkey.Count, lost)
}

// setClasses has the writer take over classes of new settings.
func (q *deadLetterQueue) setClasses(classes []deadletter.Class) {
	q.update(func() { q.newClasses = classes })
}

// takeClasses returns the classes of new settings, or nil, once.
func (q *deadLetterQueue) takeClasses() []deadletter.Class {
	q.mu.Lock()
	defer q.mu.Unlock()
	classes := q.newClasses
	q.newClasses = nil
	return classes
}

// unrecordedCount returns how often something was not recorded.
func (q *deadLetterQueue) unrecordedCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unrecorded
}

// poll has nextBatch return though nothing waits.
func (q *deadLetterQueue) poll() { q.update(func() { q.polling = true }) }

// close has nextBatch report the end from now on.
func (q *deadLetterQueue) close() { q.update(func() { q.closing = true }) }

// nextBatch waits for something to do, and returns the next batch; ok is false at the end. Rejected requests go with the
// next batch: those that are counted only do not cause a transaction of their own.
func (q *deadLetterQueue) nextBatch() (batch deadLetterBatch, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for !q.hasWorkLocked() {
		q.changed.Wait()
	}
	q.polling = false
	w := &q.waiting
	return deadLetterBatch{
		records: slices.Clone(w.records[:min(len(w.records), maxBatch)]), results: slices.Clone(w.results), lost: slices.Clone(w.lost),
		delivered: slices.Clone(w.delivered[:min(len(w.delivered), maxBatch)]), rejectedCounts: maps.Clone(w.rejectedCounts),
		rejectedRecords: slices.Clone(w.rejectedRecords[:min(len(w.rejectedRecords), maxBatch)]),
	}, !q.closing
}

// hasWorkLocked reports whether nextBatch has something to return; q.mu is held.
func (q *deadLetterQueue) hasWorkLocked() bool {
	w := &q.waiting
	return q.closing || q.polling || len(w.records) > 0 || len(w.results) > 0 || len(w.lost) > 0 || len(w.delivered) > 0
}

// removeRecords removes records by id. Some may have been removed as lost meanwhile.
func (q *deadLetterQueue) removeRecords(ids []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeRecordsLocked(ids)
}

func (q *deadLetterQueue) removeRecordsLocked(ids []string) {
	q.waiting.records = slices.DeleteFunc(q.waiting.records, func(m deadletter.Message) bool { return slices.Contains(ids, m.ID) })
}

// removeDelivered removes notes by id. Some may have been removed meanwhile.
func (q *deadLetterQueue) removeDelivered(ids []string) {
	q.update(func() {
		q.waiting.delivered = slices.DeleteFunc(q.waiting.delivered, func(n deadletter.Delivery) bool { return slices.Contains(ids, n.ID) })
	})
}

// removeResults removes the first n results.
func (q *deadLetterQueue) removeResults(n int) {
	q.update(func() { q.waiting.results = q.waiting.results[n:] })
}

// removeLost removes the first n ids of lost requests.
func (q *deadLetterQueue) removeLost(n int) {
	q.update(func() { q.waiting.lost = q.waiting.lost[n:] })
}

// removeRejectedRecords removes the first n records of rejected requests.
func (q *deadLetterQueue) removeRejectedRecords(n int) {
	q.update(func() { q.waiting.rejectedRecords = q.waiting.rejectedRecords[n:] })
}

// removeRejectedCounts takes counts off those that wait.
func (q *deadLetterQueue) removeRejectedCounts(written map[string]int) {
	q.update(func() {
		counts := q.waiting.rejectedCounts
		for group, n := range written {
			if counts[group] -= n; counts[group] == 0 {
				delete(counts, group)
			}
		}
	})
}
