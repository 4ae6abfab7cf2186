package relay

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"

	"frostlink/internal/deadletter"
)

// nextBatch waits for something to do, and gives the next batch; ok is false at the end. What was refused goes with the
// next batch: where it is counted only, it alone is not worth a transaction.
func (k *deadLetterWriter) nextBatch() (t deadLetterBatch, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for len(k.records) == 0 && len(k.results) == 0 && len(k.lost) == 0 && len(k.delivered) == 0 && !k.closing && !k.due {
		k.workAvailable.Wait()
	}
	k.due = false
	return deadLetterBatch{
		records: slices.Clone(k.records[:min(len(k.records), maxBatch)]), results: slices.Clone(k.results), lost: slices.Clone(k.lost),
		delivered: slices.Clone(k.delivered[:min(len(k.delivered), maxBatch)]), rejectedCounts: maps.Clone(k.rejectedCounts),
		rejectedRecords: slices.Clone(k.rejectedRecords[:min(len(k.rejectedRecords), maxBatch)]),
	}, !k.closing
}

// writeBatch writes what is to be written, or parts of it: a message that can't be kept is not to keep back the others.
func (k *deadLetterWriter) writeBatch(ctx context.Context, t *deadLetterBatch) (err error) {
	if err := k.ensureOpen(ctx); err != nil {
		return err
	}
	k.mu.Lock()
	missed := k.unrecorded > k.unrecordedAtReset
	k.mu.Unlock()
	if missed {
		if err := k.syncTopics(); err != nil {
			return err
		}
	}
	if len(t.results) > 0 {
		if err := k.resender.Return(t.results, k.now()); err != nil {
			return err
		}
		ids := make([]string, len(t.results))
		for i := range t.results {
			ids[i] = t.results[i].Life.ID
		}
		k.update(func() { k.results = k.results[len(ids):] })
		k.acknowledge(ids)
	}
	if len(t.delivered) > 0 {
		if err := k.deadLetters.Delivered(t.delivered); err != nil {
			return err
		}
		ids := make([]string, len(t.delivered))
		for i := range t.delivered {
			ids[i] = t.delivered[i].ID
		}
		// Some may have been abandoned meanwhile.
		k.update(func() {
			k.delivered = slices.DeleteFunc(k.delivered, func(n deadletter.Note) bool { return slices.Contains(ids, n.ID) })
		})
		k.acknowledge(ids)
	}
	if len(t.lost) > 0 {
		if err := k.deadLetters.Unkept(t.lost, "the store did not take it, and the journal had no room", k.now()); err != nil {
			return err
		}
		k.update(func() { k.lost = k.lost[len(t.lost):] })
	}
	if err := k.writeRecords(t.records); err != nil {
		return err
	}
	return k.writeRejected(t) // after what was taken on, and dropped where there is no room
}

// writeRejected writes what was refused at its arrival.
func (k *deadLetterWriter) writeRejected(t *deadLetterBatch) error {
	if len(t.rejectedCounts) > 0 {
		if err := k.deadLetters.Refused(t.rejectedCounts); err != nil {
			return err
		}
		k.update(func() {
			for group, n := range t.rejectedCounts {
				if k.rejectedCounts[group] -= n; k.rejectedCounts[group] == 0 {
					delete(k.rejectedCounts, group)
				}
			}
		})
	}
	if len(t.rejectedRecords) == 0 {
		return nil
	}
	err := k.deadLetters.Put(t.rejectedRecords)
	if err == nil || errors.Is(err, deadletter.ErrFull) {
		k.update(func() { k.rejectedRecords = k.rejectedRecords[len(t.rejectedRecords):] })
	}
	return err
}

// writeRemainingRejected writes what is in no journal, so that no later process hands it over: what was refused at its arrival.
func (k *deadLetterWriter) writeRemainingRejected() {
	for k.deadLetters != nil {
		t, _ := k.nextBatch() // gives at once, since all is at its end
		if len(t.rejectedCounts)+len(t.rejectedRecords) == 0 {
			return
		}
		if err := k.writeRejected(&t); err != nil {
			slog.Error("messages refused at their arrival are not in the store", "err", err, "counted", t.rejectedCounts, "kept", len(t.rejectedRecords))
			return
		}
	}
}

// writeRecords puts messages that were taken on into the store.
func (k *deadLetterWriter) writeRecords(batch []deadletter.Kept) error {
	if len(batch) == 0 {
		return nil
	}
	err := k.deadLetters.Put(batch)
	if err != nil && len(batch) > 1 && !errors.Is(err, deadletter.ErrFull) {
		batch = batch[:1]
		err = k.deadLetters.Put(batch)
	}
	if err != nil {
		return err
	}
	ids := make([]string, len(batch))
	for i := range batch {
		ids[i] = batch[i].ID
	}
	k.recordsStored(ids)
	return nil
}

// recordsStored reports messages that are in the store, and lets go of them here: some may have been abandoned meanwhile.
func (k *deadLetterWriter) recordsStored(ids []string) {
	k.mu.Lock()
	k.removeWaiting(ids)
	k.mu.Unlock()
	k.acknowledge(ids)
}

// removeWaiting drops messages from those that wait; the lock is held.
func (k *deadLetterWriter) removeWaiting(ids []string) {
	k.records = slices.DeleteFunc(k.records, func(m deadletter.Kept) bool { return slices.Contains(ids, m.ID) })
}
