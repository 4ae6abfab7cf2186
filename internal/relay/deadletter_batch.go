package relay

import (
	"context"
	"errors"
	"log/slog"

	"frostlink/internal/deadletter"
	"frostlink/internal/logkey"
)

// lostReason is what the store says of requests that it could not keep.
const lostReason = "the store did not take it, and the journal had no room"

// writeBatch writes a batch to the store, or parts of it: a request that can't be stored must not hold back the others.
// What was rejected comes last, and is dropped where there is no room.
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

// writeResults writes what became of redeliveries.
func (w *deadLetterWriter) writeResults(results []deadletter.Result) error {
	if len(results) == 0 {
		return nil
	}
	if err := w.resender.HandleResults(results, w.now()); err != nil {
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

// writeDelivered writes which requests with a subject were delivered.
func (w *deadLetterWriter) writeDelivered(notes []deadletter.Delivery) error {
	if len(notes) == 0 {
		return nil
	}
	if err := w.deadLetters.RecordDelivered(notes); err != nil {
		return err
	}
	ids := make([]string, len(notes))
	for i := range notes {
		ids[i] = notes[i].ID
	}
	w.queue.removeDelivered(ids)
	w.send(requestsStored{ids})
	return nil
}

// writeLost lists requests as lost.
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

// writeRecords writes requests that were accepted and not delivered.
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

// writeRejected writes requests that were never accepted.
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

// writeRemainingRejected writes, at the end of the process, what is in no journal, so that no later process could: requests
// that were never accepted.
func (w *deadLetterWriter) writeRemainingRejected() {
	for w.deadLetters != nil {
		b, _ := w.queue.nextBatch() // returns at once, since the queue is closed
		if len(b.rejectedCounts)+len(b.rejectedRecords) == 0 {
			return
		}
		if err := w.writeRejected(&b); err != nil {
			slog.Error("rejected requests not stored", logkey.Err, err, logkey.Classes, b.rejectedCounts, logkey.Count, len(b.rejectedRecords))
			return
		}
	}
}
