package boltfile

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
)

var bucketName = []byte("bucket")

// createFile returns the path of a file with a few records.
func createFile(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	f, err := Open(path, Options{})
	if err != nil {
		t.Fatal(err)
	}
	err = f.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucket(bucketName)
		if err != nil {
			return err
		}
		return b.Put([]byte("key"), bytes.Repeat([]byte("value"), 10_000))
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	return path
}

// readAll opens a file and reads its records.
func readAll(path string) error {
	f, err := Open(path, Options{ReadOnly: true})
	if err != nil {
		return err
	}
	err = f.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketName).ForEach(func(_, value []byte) error {
			_ = Checksum(value) // reads every byte
			return nil
		})
	})
	return errors.Join(err, f.Close())
}

func TestOpen_ReadsWhatWasWritten(t *testing.T) {
	path := createFile(t)
	if err := CheckMetaPages(path); err != nil {
		t.Errorf("meta pages: %v", err)
	}
	if err := readAll(path); err != nil {
		t.Error(err)
	}
}

func TestOpen_ReportsFileInUse(t *testing.T) {
	path := createFile(t)
	f, err := Open(path, Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	if _, err := Open(path, Options{}); !errors.Is(err, ErrInUse) {
		t.Errorf("err %v, want %v", err, ErrInUse)
	}
}

// A failed attempt to open a file leaves no lock on the file.
func TestOpen_UnlocksDamagedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, bytes.Repeat([]byte("x"), 1<<16), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := Open(path, Options{}); err == nil || errors.Is(err, ErrInUse) {
			t.Errorf("err %v, want an error other than ErrInUse", err)
		}
	}
}

func TestView_ReportsCutFile(t *testing.T) {
	path := createFile(t)
	f, err := Open(path, Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	if err := os.Truncate(path, int64(2*os.Getpagesize())); err != nil {
		t.Fatal(err)
	}
	err = f.View(func(tx *bbolt.Tx) error {
		tx.Bucket(bucketName)
		return nil
	})
	if !errors.Is(err, ErrDamaged) {
		t.Errorf("err %v, want %v", err, ErrDamaged)
	}
}

func TestUpdate_ReportsPanic(t *testing.T) {
	f, err := Open(createFile(t), Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	if err := f.Update(func(*bbolt.Tx) error { panic("invalid page") }); !errors.Is(err, ErrDamaged) {
		t.Errorf("err %v, want %v", err, ErrDamaged)
	}
}

func TestMetaPages_DetectsDamage(t *testing.T) {
	pageSize := os.Getpagesize()
	for name, damage := range map[string]func([]byte) []byte{
		"first page": func(raw []byte) []byte {
			raw[pageHeaderSize+metaPageCountAt] ^= 1
			return raw
		},
		"second page": func(raw []byte) []byte {
			raw[pageSize+pageHeaderSize+metaPageCountAt] ^= 1
			return raw
		},
		"truncated": func(raw []byte) []byte { return raw[:metaPages*pageSize] },
	} {
		t.Run(name, func(t *testing.T) {
			path := createFile(t)
			raw, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, damage(raw), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := CheckMetaPages(path); !errors.Is(err, ErrDamaged) {
				t.Errorf("err %v, want %v", err, ErrDamaged)
			}
		})
	}
}

func TestMetaPages_ReportsMissingFile(t *testing.T) {
	if err := CheckMetaPages(filepath.Join(t.TempDir(), "file")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("err %v, want %v", err, os.ErrNotExist)
	}
}
