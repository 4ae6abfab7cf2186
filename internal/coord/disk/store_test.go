package disk

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"

	"frostlink/internal/boltfile"
	"frostlink/internal/coord"
	"frostlink/internal/coord/replica"
)

func entry(index, term uint64, data string) *raftpb.Entry {
	return &raftpb.Entry{Index: &index, Term: &term, Data: []byte(data)}
}

// createFilled creates a folder, saves some batches, and returns the state that the folder should
// hold.
func createFilled(t *testing.T) (string, replica.PersistentState) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "m")
	want := replica.Bootstrap("c", []coord.Member{{ID: 1, Address: "a:1"}})
	if err := Create(dir, Identity{Cluster: "c", ID: 1, Address: "a:1"}, want); err != nil {
		t.Fatal(err)
	}
	store, _, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	for _, b := range []replica.WriteBatch{
		{Incarnations: []replica.Incarnation{{Number: 1, Nonce: 9}}},
		{Entries: []*raftpb.Entry{entry(2, 1, "a"), entry(3, 1, "b"), entry(4, 1, "c")}, PeerIncarnations: map[uint64]replica.Incarnation{2: {Number: 4}}},
		{Entries: []*raftpb.Entry{entry(3, 2, "d")}, HardState: &raftpb.HardState{Term: new(uint64(2))}},
		{PeerIncarnations: map[uint64]replica.Incarnation{3: {Number: 5}}, Entries: []*raftpb.Entry{entry(4, 2, "e"), entry(5, 2, "f")}},
		{Snapshot: &raftpb.Snapshot{Data: []byte("s"), Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(4)), Term: new(uint64(2))}}, FirstIndex: 4},
	} {
		if err := store.Save(b); err != nil {
			t.Fatal(err)
		}
		want.Apply(b)
	}
	return dir, want
}

func readState(dir string) (replica.PersistentState, error) {
	_, got, err := Read(dir)
	return got, err
}

// matches reports whether a state equals the state of createFilled in its incarnations, term,
// snapshot index and number of entries. It does not compare the entries themselves.
func matches(got, want replica.PersistentState) bool {
	return len(got.Incarnations) == 1 && got.Incarnations[0] == want.Incarnations[0] &&
		len(got.PeerIncarnations) == 2 && got.PeerIncarnations[3] == want.PeerIncarnations[3] &&
		got.HardState.GetTerm() == want.HardState.GetTerm() &&
		got.Snapshot.GetMetadata().GetIndex() == 4 && len(got.Entries) == len(want.Entries)
}

// TestStore_ReadsWhatWasSaved: the state that is read equals the result of applying the same
// batches to a replica.PersistentState, which is the disk of simulations.
func TestStore_ReadsWhatWasSaved(t *testing.T) {
	dir, want := createFilled(t)
	got, err := readState(dir)
	if err != nil {
		t.Fatal(err)
	}
	if !matches(got, want) {
		t.Fatalf("read state %+v, want %+v", got, want)
	}
	for i, e := range got.Entries {
		if e.GetIndex() != want.Entries[i].GetIndex() || string(e.GetData()) != string(want.Entries[i].GetData()) {
			t.Errorf("entry %d: %v, want %v", i, e, want.Entries[i])
		}
	}
	if err := Create(dir, Identity{}, replica.PersistentState{}); err == nil || !strings.Contains(err.Error(), "already") {
		t.Errorf("folder created twice: %v", err)
	}
	if _, _, _, err := Open(t.TempDir()); err == nil {
		t.Error("an empty folder was opened without an error")
	}
}

func TestOpen_RejectsFolderInUse(t *testing.T) {
	dir, _ := createFilled(t)
	store, _, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if _, _, _, err := Open(dir); !errors.Is(err, boltfile.ErrInUse) {
		t.Errorf("folder opened twice: %v", err)
	}
}

func TestRead_RejectsNewerVersion(t *testing.T) {
	dir, _ := createFilled(t)
	db, err := bbolt.Open(filepath.Join(dir, fileName), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = errors.Join(db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(versionKey, []byte{0, 0, 0, 9}) }), db.Close())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readState(dir); err == nil || !strings.Contains(err.Error(), "version 1") {
		t.Errorf("folder of a newer version: %v", err)
	}
}
