package disk

import (
	"errors"
	"testing"

	"go.etcd.io/bbolt"

	"frostlink/internal/coord/replica"
)

// damage flips a bit of a sealed value in a store.
func damage(t *testing.T, db interface {
	Update(fn func(*bbolt.Tx) error) error
}, key []byte,
) {
	t.Helper()
	if err := db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		raw := append([]byte{}, meta.Get(key)...)
		raw[len(raw)-1] ^= 1
		return put(meta, key, raw)
	}); err != nil {
		t.Fatal(err)
	}
}

// A member does not start if its term and vote, the incarnations of its peers, its own incarnations or its identity are damaged:
// it might vote twice, or accept a peer whose disk was set back to an old copy.
func TestOpen_RejectsDamagedValues(t *testing.T) {
	for _, key := range [][]byte{hardStateKey, peerIncarnationsKey, incarnationsKey, identityKey} {
		t.Run(string(key), func(t *testing.T) {
			dir, _ := createFilled(t)
			store, _, _, err := Open(dir)
			if err != nil {
				t.Fatal(err)
			}
			damage(t, store.db, key)
			if err := store.Close(); err != nil {
				t.Fatal(err)
			}
			if store, _, _, err = Open(dir); !errors.Is(err, errChecksum) {
				if err == nil {
					_ = store.Close()
				}
				t.Errorf("opened with %v, want %v", err, errChecksum)
			}
		})
	}
}

// The stored incarnations of a member's peers are damaged while the member runs. A damaged value was taken for a missing one,
// so saving the incarnation of one peer removed the incarnations of all other peers: the value read back contained the new peer
// alone, and no error was reported.
func TestSave_RejectsDamagedPeerIncarnations(t *testing.T) {
	dir, _ := createFilled(t)
	store, _, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	damage(t, store.db, peerIncarnationsKey)
	err = store.Save(replica.WriteBatch{PeerIncarnations: map[uint64]replica.Incarnation{4: {Number: 1}}})
	if !errors.Is(err, errChecksum) {
		t.Errorf("saved with %v, want %v", err, errChecksum)
	}
}
