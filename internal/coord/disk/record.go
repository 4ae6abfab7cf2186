package disk

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"frostlink/internal/boltfile"
)

// formatVersion is the version of the folder's format.
const formatVersion = 1

// versionSize is the size of the stored format version, in bytes.
const versionSize = 4

var (
	metaBucket = []byte("meta")
	logBucket  = []byte("log")

	versionKey          = []byte("version")
	identityKey         = []byte("identity")
	incarnationsKey     = []byte("lives")
	peerIncarnationsKey = []byte("marks")
	hardStateKey        = []byte("hard")
	snapshotKey         = []byte("snapshot")
)

// logKey returns the key of the log entry at an index. Keys sort in the order of their indexes.
func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// checksumSize is the size of the checksum of a sealed value, in bytes.
const checksumSize = 4

// seal returns a value with its checksum in front.
func seal(raw []byte) []byte {
	sealed := binary.BigEndian.AppendUint32(make([]byte, 0, checksumSize+len(raw)), boltfile.Checksum(raw))
	return append(sealed, raw...)
}

// unseal checks the checksum of a sealed value, and returns a copy of the value, since bbolt's
// bytes are valid only during their transaction.
func unseal(sealed []byte) ([]byte, error) {
	switch {
	case sealed == nil:
		return nil, errMissing
	case len(sealed) < checksumSize || binary.BigEndian.Uint32(sealed) != boltfile.Checksum(sealed[checksumSize:]):
		return nil, errChecksum
	}
	return append([]byte{}, sealed[checksumSize:]...), nil
}

// getJSON reads a sealed JSON value. It reports false if the key is missing.
func getJSON(b *bbolt.Bucket, key []byte, to any) (bool, error) {
	return get(b, key, func(raw []byte) error { return json.Unmarshal(raw, to) })
}

// getMessage reads a sealed protocol buffer. It reports false if the key is missing.
func getMessage(b *bbolt.Bucket, key []byte, to proto.Message) (bool, error) {
	return get(b, key, func(raw []byte) error { return proto.Unmarshal(raw, to) })
}

func get(b *bbolt.Bucket, key []byte, decode func(raw []byte) error) (bool, error) {
	raw, err := unseal(b.Get(key))
	if errors.Is(err, errMissing) {
		return false, nil
	}
	if err == nil {
		err = decode(raw)
	}
	if err != nil {
		return false, fmt.Errorf("%s: %w", key, err)
	}
	return true, nil
}

// putJSON writes a value as sealed JSON.
func putJSON(b *bbolt.Bucket, key []byte, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	return put(b, key, seal(raw))
}

// putMessage writes a sealed protocol buffer.
func putMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	raw, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	return put(b, key, seal(raw))
}

func put(b *bbolt.Bucket, key, value []byte) error {
	if err := b.Put(key, value); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}
