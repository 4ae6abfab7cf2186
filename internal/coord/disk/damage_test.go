//go:build !race

// Not built with the race detector: with it, a memory fault ends the process instead of causing a panic that is recovered.

package disk

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"frostlink/internal/coord/replica"
)

// TestRead_DetectsFlippedBytes: a flipped bit anywhere in the store either has no effect or is
// reported as an error. It must not end the process, and the entries that are read must equal the
// entries that were written. The test flips one bit in every 13th byte, one byte at a time.
func TestRead_DetectsFlippedBytes(t *testing.T) {
	dir, want := createFilled(t)
	path := filepath.Join(dir, fileName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	detected := 0
	for offset := 0; offset < len(whole); offset += 13 {
		raw := append([]byte{}, whole...)
		raw[offset] ^= 0x40
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := readState(dir)
		if err != nil {
			detected++
			continue
		}
		if store, _, _, err := Open(dir); err != nil { // Open must not end the process either
			t.Fatalf("byte %d flipped: readable, but open failed: %v", offset, err)
		} else if err := errors.Join(store.Save(replica.WriteBatch{Entries: []*raftpb.Entry{entry(6, 2, "g")}}), store.Close()); err != nil {
			t.Fatalf("byte %d flipped: save failed: %v", offset, err)
		}
		for i, e := range got.Entries {
			if len(got.Entries) != len(want.Entries) || string(e.GetData()) != string(want.Entries[i].GetData()) {
				t.Fatalf("byte %d flipped: read wrong entries %v", offset, got.Entries)
			}
		}
	}
	if detected == 0 {
		t.Error("no flipped byte was detected")
	}
}

func TestRead_DetectsTruncation(t *testing.T) {
	dir, _ := createFilled(t)
	path := filepath.Join(dir, fileName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for size := len(whole) - 4096; size >= 0; size -= 4096 {
		if err := os.WriteFile(path, whole[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		_, _ = readState(dir) // must not end the process; it may succeed if only unused pages were cut off
	}
	if _, err := readState(dir); err == nil {
		t.Error("an empty file was read without an error")
	}
}
