package relay

import (
	"context"
	"errors"
	"log/slog"

	"frostlink/internal/deadletter"
	"frostlink/internal/logkey"
)

// lostReason is the reason that the store records for requests that were evicted from the journal before they were stored.
const lostReason = "the store did not take it, and the journal had no room"

// writeBatch writes a batch to the store, part by part, and stops at the first part that fails. Rejected requests come last,
// and their records are dropped if the store is full.
func (w *deadLetterWriter) writeBatch(ctx context.Context, b *deadLetterBatch) error {
	if err := w.ensureOpen(ctx); err != nil {
		return err
	}
	if w.queue.unrecordedCount() > w.unrecordedAtSync {
		if err := w.syncTopics(); err != nil {
			return err
		}
	}
	if err := w.writeResults(b.results); err != nil {
		return err
	}
	if err := w.writeDelivered(b.delivered); err != nil {
		return err
	}
	if err := w.writeLost(b.lost); err != nil {
		return err
	}
	if err := w.writeRecords(b.records); err != nil {
		return err
	}
	return w.writeRejected(b)
}

// writeResults writes the results of redeliveries.
func (w *deadLetterWriter) writeResults(results []deadletter.Result) error {
	if len(results) == 0 {
		return nil
	}
	if err := w.redeliverer.HandleResults(results, w.now()); err != nil {
		return err
	}
	ids := make([]string, len(results))
	for i := range results {
		ids[i] = results[i].Incarnation.ID
	}
	w.queue.removeResults(len(results))
	w.send(requestsStored{ids})
	return nil
}

// writeDelivered writes the deliveries of requests with a subject.
func (w *deadLetterWriter) writeDelivered(deliveries []deadletter.Delivery) error {
	if len(deliveries) == 0 {
		return nil
	}
	if err := w.deadLetters.RecordDelivered(deliveries); err != nil {
		return err
	}
	ids := make([]string, len(deliveries))
	for i := range deliveries {
		ids[i] = deliveries[i].ID
	}
	w.queue.removeDelivered(ids)
	w.send(requestsStored{ids})
	return nil
}

// writeLost writes the ids of lost requests.
func (w *deadLetterWriter) writeLost(ids []string) error {
	if len(ids) == 0 {
		return nil
	}
	if err := w.deadLetters.MarkDropped(ids, lostReason, w.now()); err != nil {
		return err
	}
	w.queue.removeLost(len(ids))
	return nil
}

// writeRecords writes requests that were accepted and not delivered. If writing them together fails, it writes the first one
// alone, so that a request that can't be stored does not hold back the requests before it in the queue.
func (w *deadLetterWriter) writeRecords(records []deadletter.Message) error {
	if len(records) == 0 {
		return nil
	}
	err := w.deadLetters.Put(records)
	if err != nil && len(records) > 1 && !errors.Is(err, deadletter.ErrFull) {
		records = records[:1]
		err = w.deadLetters.Put(records)
	}
	if err != nil {
		return err
	}
	ids := make([]string, len(records))
	for i := range records {
		ids[i] = records[i].ID
	}
	w.queue.removeRecords(ids)
	w.send(requestsStored{ids})
	return nil
}

// writeRejected writes the counts and the records of requests that were never accepted.
func (w *deadLetterWriter) writeRejected(b *deadLetterBatch) error {
	if len(b.rejectedCounts) > 0 {
		if err := w.deadLetters.CountRejected(b.rejectedCounts); err != nil {
			return err
		}
		w.queue.removeRejectedCounts(b.rejectedCounts)
	}
	if len(b.rejectedRecords) == 0 {
		return nil
	}
	err := w.deadLetters.Put(b.rejectedRecords)
	if err == nil || errors.Is(err, deadletter.ErrFull) {
		w.queue.removeRejectedRecords(len(b.rejectedRecords))
	}
	return err
}

// writeRemainingRejected writes, at the end of the process, the requests that were never accepted: they are in no journal, so
// no later process could write them.
func (w *deadLetterWriter) writeRemainingRejected() {
	for w.deadLetters != nil {
		b, _ := w.queue.nextBatch() // does not wait, since the queue is closed
		if len(b.rejectedCounts)+len(b.rejectedRecords) == 0 {
			return
		}
		if err := w.writeRejected(&b); err != nil {
			slog.Error("rejected requests not stored", logkey.Err, err, logkey.Classes, b.rejectedCounts, logkey.Count, len(b.rejectedRecords))
			return
		}
	}
}
