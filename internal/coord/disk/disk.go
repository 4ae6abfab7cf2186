// Package disk keeps what a member of the coordination service must not forget.
package disk

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"frostlink/internal/boltfile"
	"frostlink/internal/coord/replica"
)

// The folder holds one bbolt file with two buckets:
//
//	meta  "version" -> 4 bytes; "identity", "lives", "marks" -> JSON; "hard", "snapshot" -> protocol buffers of raftpb
//	log   index (8 bytes, big endian) -> an entry of raftpb
//
// Each value but the version begins with its checksum (4 bytes, CRC-32C of the rest). Every write is one transaction,
// synced before it returns: after a crash all of it is there, or nothing.
const (
	fileName = "coord.db"
	nextName = "coord.db.next" // a whole new one, until it takes the other's place
	lockName = "lock"
	version  = 1
)

var (
	bMeta, bLog          = []byte("meta"), []byte("log")
	kVersion, kIdentity  = []byte("version"), []byte("identity")
	kLives, kMarks       = []byte("lives"), []byte("marks")
	kHard, kSnapshot     = []byte("hard"), []byte("snapshot")
	errNone, errChecksum = errors.New("missing"), errors.New("its checksum is another")
)

// Identity says whose folder it is. It is written once.
type Identity struct {
	Cluster string   `json:"cluster"`
	ID      uint64   `json:"id"`
	Address string   `json:"address"` // where the member listens
	Peers   []uint64 `json:"peers,omitempty"`
	Via     []string `json:"via,omitempty"` // addresses of Peers
}

// Disk is an open folder, for writing.
type Disk struct {
	db   *boltfile.File
	path string
	lock *os.File
}

// Create makes the folder of a new member. One that is there already is left alone.
func Create(dir string, id Identity, first replica.PersistentState) error {
	path := filepath.Join(dir, fileName)
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("%s: there is a member's data already", path)
	} else if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	return fill(dir, id, first)
}

// Open opens a member's folder and gives what it holds. All of that is first written into a new file: of the old one
// nothing is relied on but what its checksums vouch for, such as bbolt's list of free pages, which has none.
func Open(dir string) (d *Disk, id Identity, state replica.PersistentState, err error) {
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, id, state, err
	}
	defer func() {
		if err != nil {
			_ = lock.Close()
		}
	}()
	if id, state, err = Read(dir); err != nil {
		return nil, id, state, err
	}
	if err = fill(dir, id, state); err != nil {
		return nil, id, state, err
	}
	path := filepath.Join(dir, fileName)
	db, err := boltfile.Open(path, boltfile.Options{})
	if err != nil {
		return nil, id, state, fmt.Errorf("%s: %w", path, err)
	}
	return &Disk{db, path, lock}, id, state, nil
}

// lockFolder keeps other processes from opening a folder.
func lockFolder(dir string) (*os.File, error) {
	if _, err := os.Stat(filepath.Join(dir, fileName)); err != nil {
		return nil, fmt.Errorf("no member's data: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%s: %w", dir, boltfile.ErrInUse)
	}
	return f, nil
}

// fill writes a whole new file, and puts it in the place of the one that is there.
func fill(dir string, id Identity, state replica.PersistentState) error {
	path, next := filepath.Join(dir, fileName), filepath.Join(dir, nextName)
	if err := os.Remove(next); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	db, err := boltfile.Open(next, boltfile.Options{})
	if err != nil {
		return fmt.Errorf("%s: %w", next, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucket(bMeta)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucket(bLog); err != nil {
			return err
		}
		if err := putJSON(meta, kIdentity, id); err != nil {
			return err
		}
		if err := save(tx, replica.WriteBatch{
			Incarnations: state.Incarnations, PeerIncarnations: state.PeerIncarnations, HardState: state.HardState, Snapshot: state.Snapshot,
			Entries: state.Entries,
		}); err != nil {
			return err
		}
		return meta.Put(kVersion, binary.BigEndian.AppendUint32(nil, version))
	})
	if err = errors.Join(err, db.Close()); err != nil {
		return fmt.Errorf("%s: %w", next, err)
	}
	if err := os.Rename(next, path); err != nil {
		return err
	}
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Close closes the folder.
func (d *Disk) Close() error { return errors.Join(d.db.Close(), d.lock.Close()) }

// Read reads all that a folder holds, and checks it. An error names what can't be read.
func Read(dir string) (id Identity, disk replica.PersistentState, err error) {
	path := filepath.Join(dir, fileName)
	if _, err := os.Stat(path); err != nil {
		return id, disk, fmt.Errorf("no member's data: %w", err)
	}
	if err := boltfile.Whole(path); err != nil {
		return id, disk, fmt.Errorf("%s: %w", path, err)
	}
	db, err := boltfile.Open(path, boltfile.Options{ReadOnly: true})
	if err != nil {
		return id, disk, fmt.Errorf("%s: %w", path, err)
	}
	err = db.View(func(tx *bbolt.Tx) error { return load(tx, &id, &disk) })
	if err = errors.Join(err, db.Close()); err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return id, disk, err
}

func load(tx *bbolt.Tx, id *Identity, disk *replica.PersistentState) error {
	meta, log := tx.Bucket(bMeta), tx.Bucket(bLog)
	if meta == nil || log == nil {
		return fmt.Errorf("buckets: %w", errNone)
	}
	if v := meta.Get(kVersion); len(v) != 4 {
		return fmt.Errorf("version: %w", boltfile.ErrDamaged)
	} else if n := binary.BigEndian.Uint32(v); n != version {
		return fmt.Errorf("version: %d; this program reads version %d", n, version)
	}
	for _, one := range []struct {
		key  []byte
		must bool
		to   any
	}{{kIdentity, true, id}, {kLives, false, &disk.Incarnations}, {kMarks, false, &disk.PeerIncarnations}} {
		raw, err := unseal(meta.Get(one.key))
		if errors.Is(err, errNone) && !one.must {
			continue
		}
		if err == nil {
			err = json.Unmarshal(raw, one.to)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", one.key, err)
		}
	}
	hard, snapshot := &raftpb.HardState{}, &raftpb.Snapshot{}
	if there, err := message(meta, kHard, hard); err != nil {
		return err
	} else if there {
		disk.HardState = hard
	}
	if there, err := message(meta, kSnapshot, snapshot); err != nil {
		return err
	} else if there {
		disk.Snapshot = snapshot
	}
	var err error
	disk.Entries, err = entries(log, disk.Snapshot)
	return err
}

// message reads a protocol buffer, if it is there.
func message(b *bbolt.Bucket, key []byte, to proto.Message) (bool, error) {
	raw, err := unseal(b.Get(key))
	if errors.Is(err, errNone) {
		return false, nil
	}
	if err == nil {
		err = proto.Unmarshal(raw, to)
	}
	if err != nil {
		return false, fmt.Errorf("%s: %w", key, err)
	}
	return true, nil
}

// entries reads the log, which has to be whole from the snapshot on.
func entries(b *bbolt.Bucket, snapshot *raftpb.Snapshot) ([]*raftpb.Entry, error) {
	var list []*raftpb.Entry
	c := b.Cursor()
	for k, v := c.First(); k != nil; k, v = c.Next() {
		e := &raftpb.Entry{}
		raw, err := unseal(v)
		if err == nil {
			err = proto.Unmarshal(raw, e)
		}
		index := binary.BigEndian.Uint64(k)
		switch {
		case err != nil:
			return nil, fmt.Errorf("log: entry %d: %w", index, err)
		case e.GetIndex() != index:
			return nil, fmt.Errorf("log: entry %d: says that it is entry %d", index, e.GetIndex())
		case len(list) > 0 && list[len(list)-1].GetIndex()+1 != index:
			return nil, fmt.Errorf("log: entry %d: the one before is missing", index)
		}
		list = append(list, e)
	}
	if at := snapshot.GetMetadata().GetIndex(); len(list) > 0 && list[0].GetIndex() > at+1 {
		return nil, fmt.Errorf("log: entry %d: the one before is missing, and the snapshot ends at %d", list[0].GetIndex(), at)
	}
	return list, nil
}

// Save writes what a round of the core gave. When it returns without an error all of it is on the disk.
func (d *Disk) Save(w replica.WriteBatch) error {
	if err := d.db.Update(func(tx *bbolt.Tx) error { return save(tx, w) }); err != nil {
		return fmt.Errorf("%s: %w", d.path, err)
	}
	return nil
}

func save(tx *bbolt.Tx, w replica.WriteBatch) error {
	meta, log := tx.Bucket(bMeta), tx.Bucket(bLog)
	if len(w.Incarnations) > 0 {
		if err := putJSON(meta, kLives, w.Incarnations); err != nil {
			return err
		}
	}
	if len(w.PeerIncarnations) > 0 {
		marks := map[uint64]replica.Incarnation{}
		if raw, err := unseal(meta.Get(kMarks)); err == nil {
			if err := json.Unmarshal(raw, &marks); err != nil {
				return fmt.Errorf("marks: %w", err)
			}
		}
		for id, life := range w.PeerIncarnations {
			marks[id] = life
		}
		if err := putJSON(meta, kMarks, marks); err != nil {
			return err
		}
	}
	if w.HardState != nil {
		if err := putMessage(meta, kHard, w.HardState); err != nil {
			return err
		}
	}
	if w.Snapshot != nil {
		if err := putMessage(meta, kSnapshot, w.Snapshot); err != nil {
			return err
		}
	}
	if w.ReplaceLog {
		if err := remove(log, 0, 1<<63); err != nil {
			return err
		}
	}
	if len(w.Entries) > 0 {
		if err := remove(log, w.Entries[0].GetIndex(), 1<<63); err != nil {
			return err
		}
	}
	for _, e := range w.Entries {
		if err := putMessage(log, binary.BigEndian.AppendUint64(nil, e.GetIndex()), e); err != nil {
			return err
		}
	}
	return remove(log, 0, w.FirstIndex)
}

// remove removes the entries from one index up to, not including, another.
func remove(log *bbolt.Bucket, from, to uint64) error {
	c := log.Cursor()
	first := binary.BigEndian.AppendUint64(nil, from)
	for k, _ := c.Seek(first); k != nil && binary.BigEndian.Uint64(k) < to; k, _ = c.Seek(first) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func putJSON(b *bbolt.Bucket, key []byte, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return b.Put(key, seal(raw))
}

func putMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	raw, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, seal(raw))
}

// seal puts the checksum before a value.
func seal(raw []byte) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(raw)), boltfile.Sum(raw)), raw...)
}

// unseal checks a value, and copies it.
func unseal(v []byte) ([]byte, error) {
	switch {
	case v == nil:
		return nil, errNone
	case len(v) < 4 || binary.BigEndian.Uint32(v) != boltfile.Sum(v[4:]):
		return nil, errChecksum
	}
	return append([]byte{}, v[4:]...), nil
}
