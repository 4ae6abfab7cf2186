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
	// maxBatch is the largest number of records in one transaction of the store.
	maxBatch = 200
	// recordOverhead is the memory in bytes that a record takes besides its body.
	recordOverhead = 1 << 10
)

// deadLetterBatch holds entries to be written to the store.
type deadLetterBatch struct {
	records         []deadletter.Message
	results         []deadletter.Result   // of redeliveries
	lost            []string              // ids of requests to be listed as lost
	delivered       []deadletter.Delivery // of requests with a subject
	rejectedCounts  map[string]int        // of requests that were never accepted, by class and tenant
	rejectedRecords []deadletter.Message  // of requests that were never accepted, if the operator's file says so; the loop gets no acknowledgement, since the journal does not have them
}

// deadLetterQueue holds the entries that wait for the writer. The loop adds entries and is never blocked; the writer removes
// entries that the store has recorded.
type deadLetterQueue struct {
	// rejectedMemory limits the memory, in bytes, of waiting records of requests that were never accepted; 0: they are only counted.
	rejectedMemory int

	mu            sync.Mutex // guards the fields below
	rejectedBytes int        // memory of waiting.rejectedRecords
	changed       sync.Cond  // signals that the result of hasWorkLocked may have changed
	waiting       deadLetterBatch
	polling       bool // poll was called since the last batch
	closing       bool // close was called

	newClasses []deadletter.Class // of new settings, until the writer has applied them
	lostCount  int                // number of requests listed as lost so far
	unrecorded int                // number of requests dropped unrecorded; an increase makes the store's tracking of topics begin anew
}

// newDeadLetterQueue returns an empty queue, which keeps records of requests that were never accepted in rejectedMemory bytes.
func newDeadLetterQueue(rejectedMemory int) *deadLetterQueue {
	q := &deadLetterQueue{rejectedMemory: rejectedMemory}
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

// addResult adds the result of a redelivery.
func (q *deadLetterQueue) addResult(r deadletter.Result) {
	q.update(func() { q.waiting.results = append(q.waiting.results, r) })
}

// addDelivered adds a request with a subject that was delivered.
func (q *deadLetterQueue) addDelivered(n deadletter.Delivery) {
	q.update(func() { q.waiting.delivered = append(q.waiting.delivered, n) })
}

// addRejected adds a request that was never accepted: the request is counted, and its record is kept if the operator's file says so
// and there is memory, since rejections are most frequent when space is scarcest.
func (q *deadLetterQueue) addRejected(record deadletter.Message) {
	q.update(func() {
		if memory := recordMemory(&record); q.rejectedBytes+memory <= q.rejectedMemory {
			q.waiting.rejectedRecords = append(q.waiting.rejectedRecords, record)
			q.rejectedBytes += memory
		}
		if q.waiting.rejectedCounts == nil {
			q.waiting.rejectedCounts = map[string]int{}
		}
		deadletter.CountGroup(q.waiting.rejectedCounts, record.Class+" of "+record.Tenant, 1)
	})
}

// recordMemory returns the memory in bytes that a waiting record takes.
func recordMemory(record *deadletter.Message) int { return recordOverhead + len(record.Body) }

// addLost adds a request that was evicted from the journal to free space, to be listed as lost, and logs the loss. A request that
// was delivered is not lost: only the pending entry of its delivery is dropped.
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
	slog.Error("dead letter lost: it was evicted from the journal to free space for a new request before the store recorded it", logkey.RequestIDs, ids, logkey.Count, lost)
}

// setClasses passes the classes of new settings to the writer.
func (q *deadLetterQueue) setClasses(classes []deadletter.Class) {
	q.update(func() { q.newClasses = classes })
}

// takeClasses removes and returns the classes of new settings, or returns nil.
func (q *deadLetterQueue) takeClasses() []deadletter.Class {
	q.mu.Lock()
	defer q.mu.Unlock()
	classes := q.newClasses
	q.newClasses = nil
	return classes
}

// unrecordedCount returns the number of requests that were dropped unrecorded.
func (q *deadLetterQueue) unrecordedCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unrecorded
}

// poll makes nextBatch return even if the queue is empty, so that the writer checks the retention bounds and the due
// redeliveries.
func (q *deadLetterQueue) poll() { q.update(func() { q.polling = true }) }

// close makes nextBatch return ok = false from now on.
func (q *deadLetterQueue) close() { q.update(func() { q.closing = true }) }

// nextBatch waits for work and returns the next batch; ok is false after close. Rejected requests do not count as work: they
// wait for the next batch, so that a transaction writes many of them.
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

// hasWorkLocked reports whether nextBatch returns without waiting. q.mu must be held.
func (q *deadLetterQueue) hasWorkLocked() bool {
	w := &q.waiting
	return q.closing || q.polling || len(w.records) > 0 || len(w.results) > 0 || len(w.lost) > 0 || len(w.delivered) > 0
}

// removeRecords removes records by id. addLost may already have removed some of them.
func (q *deadLetterQueue) removeRecords(ids []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeRecordsLocked(ids)
}

func (q *deadLetterQueue) removeRecordsLocked(ids []string) {
	q.waiting.records = slices.DeleteFunc(q.waiting.records, func(m deadletter.Message) bool { return slices.Contains(ids, m.ID) })
}

// removeDelivered removes deliveries by id. addLost may already have removed some of them.
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
	q.update(func() {
		for i := range n {
			q.rejectedBytes -= recordMemory(&q.waiting.rejectedRecords[i])
		}
		q.waiting.rejectedRecords = slices.Delete(q.waiting.rejectedRecords, 0, n) // and releases the bodies
	})
}

// removeRejectedCounts subtracts counts that were written from the counts in the queue.
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
