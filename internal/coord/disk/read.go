package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"frostlink/internal/boltfile"
	"frostlink/internal/coord/replica"
)

// Read reads and checks all contents of a folder. An error names the part that can't be read.
func Read(dir string) (id Identity, state replica.PersistentState, err error) {
	path := filepath.Join(dir, fileName)
	if err := hasStore(dir); err != nil {
		return id, state, err
	}
	if err := boltfile.CheckMetaPages(path); err != nil {
		return id, state, fmt.Errorf("%s: %w", path, err)
	}
	db, err := boltfile.Open(path, boltfile.Options{ReadOnly: true})
	if err != nil {
		return id, state, fmt.Errorf("%s: %w", path, err)
	}
	err = db.View(func(tx *bbolt.Tx) error { return load(tx, &id, &state) })
	if err = errors.Join(err, db.Close()); err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return id, state, err
}

// hasStore returns an error if a folder contains no store.
func hasStore(dir string) error {
	if _, err := os.Stat(filepath.Join(dir, fileName)); err != nil {
		return fmt.Errorf("no member's data: %w", err)
	}
	return nil
}

func load(tx *bbolt.Tx, id *Identity, state *replica.PersistentState) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if meta == nil || log == nil {
		return fmt.Errorf("buckets: %w", errMissing)
	}
	if err := checkVersion(meta); err != nil {
		return err
	}
	if found, err := getJSON(meta, identityKey, id); err != nil {
		return err
	} else if !found {
		return fmt.Errorf("%s: %w", identityKey, errMissing)
	}
	if _, err := getJSON(meta, incarnationsKey, &state.Incarnations); err != nil {
		return err
	}
	if _, err := getJSON(meta, peerIncarnationsKey, &state.PeerIncarnations); err != nil {
		return err
	}
	return loadRaft(meta, log, state)
}

func checkVersion(meta *bbolt.Bucket) error {
	raw := meta.Get(versionKey)
	if len(raw) != versionSize {
		return fmt.Errorf("version: %w", boltfile.ErrDamaged)
	}
	if version := binary.BigEndian.Uint32(raw); version != formatVersion {
		return &VersionError{Version: version}
	}
	return nil
}

// loadRaft reads Raft's state: term and vote, the snapshot, and the log.
func loadRaft(meta, log *bbolt.Bucket, state *replica.PersistentState) error {
	hardState, snapshot := &raftpb.HardState{}, &raftpb.Snapshot{}
	if found, err := getMessage(meta, hardStateKey, hardState); err != nil {
		return err
	} else if found {
		state.HardState = hardState
	}
	if found, err := getMessage(meta, snapshotKey, snapshot); err != nil {
		return err
	} else if found {
		state.Snapshot = snapshot
	}
	var err error
	state.Entries, err = loadEntries(log, state.Snapshot)
	return err
}

// loadEntries reads the log, whose indexes have to be consecutive and to begin at most one past the
// snapshot's index.
func loadEntries(log *bbolt.Bucket, snapshot *raftpb.Snapshot) ([]*raftpb.Entry, error) {
	var entries []*raftpb.Entry
	c := log.Cursor()
	for k, v := c.First(); k != nil; k, v = c.Next() {
		index := binary.BigEndian.Uint64(k)
		e, err := decodeEntry(index, v)
		if err != nil {
			return nil, err
		}
		if n := len(entries); n > 0 && entries[n-1].GetIndex()+1 != index {
			return nil, entryErrorf(index, "previous entry missing")
		}
		entries = append(entries, e)
	}
	if last := snapshot.GetMetadata().GetIndex(); len(entries) > 0 && entries[0].GetIndex() > last+1 {
		return nil, entryErrorf(entries[0].GetIndex(), "previous entry missing; the snapshot ends at %d", last)
	}
	return entries, nil
}

func decodeEntry(index uint64, sealed []byte) (*raftpb.Entry, error) {
	e := &raftpb.Entry{}
	raw, err := unseal(sealed)
	if err == nil {
		err = proto.Unmarshal(raw, e)
	}
	if err != nil {
		return nil, &EntryError{Index: index, Err: err}
	}
	if e.GetIndex() != index {
		return nil, entryErrorf(index, "contains the index %d", e.GetIndex())
	}
	return e, nil
}
