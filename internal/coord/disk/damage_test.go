//go:build !race

// Without the race detector: it does not bear a fault of memory that is handled.

package disk

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"frostlink/internal/coord/replica"
)

// TestFlippedBytes: a byte that is flipped anywhere in the file is either of no account, or an error; it never ends the
// process, and never gives anything else than what was written.
func TestFlippedBytes(t *testing.T) {
	dir, want := filled(t)
	path := filepath.Join(dir, fileName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for at := 0; at < len(whole); at += 13 {
		raw := append([]byte{}, whole...)
		raw[at] ^= 0x40
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := read(dir)
		if err != nil {
			found++
			continue
		}
		if d, _, _, err := Open(dir); err != nil { // must not end the process, either
			t.Fatalf("byte %d flipped: read, and not opened: %v", at, err)
		} else if err := errors.Join(d.Save(replica.WriteBatch{Entries: []*raftpb.Entry{entry(6, 2, "g")}}), d.Close()); err != nil {
			t.Fatalf("byte %d flipped: %v", at, err)
		}
		for i, e := range got.Entries {
			if len(got.Entries) != len(want.Entries) || string(e.GetData()) != string(want.Entries[i].GetData()) {
				t.Fatalf("byte %d flipped: %v", at, got.Entries)
			}
		}
	}
	if found == 0 {
		t.Error("no flipped byte was found")
	}
}

func TestCutShort(t *testing.T) {
	dir, _ := filled(t)
	path := filepath.Join(dir, fileName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for size := len(whole) - 4096; size >= 0; size -= 4096 {
		if err := os.WriteFile(path, whole[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		_, _ = read(dir) // an error, or nothing that counted was cut off; never the process's end
	}
	if _, err := read(dir); err == nil {
		t.Error("an empty file was read")
	}
}
