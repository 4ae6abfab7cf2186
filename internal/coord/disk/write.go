package disk

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"

	"frostlink/internal/coord/replica"
)

// endOfLog is higher than the index of any entry.
const endOfLog = math.MaxInt64 + 1

// writeBatch writes a batch in a transaction.
func writeBatch(tx *bbolt.Tx, b replica.WriteBatch) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if err := writeIncarnations(meta, b); err != nil {
		return err
	}
	if b.HardState != nil {
		if err := putMessage(meta, hardStateKey, b.HardState); err != nil {
			return err
		}
	}
	if b.Snapshot != nil {
		if err := putMessage(meta, snapshotKey, b.Snapshot); err != nil {
			return err
		}
	}
	if b.ReplaceLog {
		if err := deleteEntries(log, 0, endOfLog); err != nil {
			return err
		}
	}
	if err := writeEntries(log, b.Entries); err != nil {
		return err
	}
	return deleteEntries(log, 0, b.FirstIndex)
}

func writeIncarnations(meta *bbolt.Bucket, b replica.WriteBatch) error {
	if len(b.Incarnations) > 0 {
		if err := putJSON(meta, incarnationsKey, b.Incarnations); err != nil {
			return err
		}
	}
	if len(b.PeerIncarnations) == 0 {
		return nil
	}
	peers := map[uint64]replica.Incarnation{}
	// A damaged value is an error. If it were treated as missing, the incarnations of all other
	// peers would be lost.
	if _, err := getJSON(meta, peerIncarnationsKey, &peers); err != nil {
		return err
	}
	maps.Copy(peers, b.PeerIncarnations)
	return putJSON(meta, peerIncarnationsKey, peers)
}

// writeEntries replaces the part of the log that begins at the first entry's index.
func writeEntries(log *bbolt.Bucket, entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntries(log, entries[0].GetIndex(), endOfLog); err != nil {
		return err
	}
	for _, e := range entries {
		if err := putMessage(log, logKey(e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntries deletes the entries from an index up to, but not including, another index.
func deleteEntries(log *bbolt.Bucket, from, to uint64) error {
	c := log.Cursor()
	first := logKey(from)
	// A cursor's position is not valid after a deletion, so each step seeks again.
	for k, _ := c.Seek(first); k != nil && binary.BigEndian.Uint64(k) < to; k, _ = c.Seek(first) {
		if err := c.Delete(); err != nil {
			return fmt.Errorf("log: %w", err)
		}
	}
	return nil
}
