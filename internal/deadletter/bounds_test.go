package deadletter

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// fillStore stores n messages that alternate between two classes and two tenants. They are accepted a minute apart and
// stored oldest first.
func fillStore(t *testing.T, s *Store, n int) {
	t.Helper()
	for i := range n {
		m := newMessage(fmt.Sprint("m", i))
		m.Class, m.Tenant = []string{"fee-payment", "parcel-status"}[i%2], []string{"lahore", "sahiwal"}[i/2%2]
		m.Incarnations[0].AcceptedAt = noon.Add(time.Duration(i-n) * time.Minute)
		if err := s.Put([]Message{m}); err != nil {
			t.Fatal(err)
		}
	}
}

func TestBounds_RemoveWhatExceedsThem(t *testing.T) {
	for name, c := range map[string]struct {
		section Section
		full    bool
		want    string
	}{
		"none":                 {Section{MaxMessages: 99}, false, "m0 m1 m2 m3 m4 m5 m6 m7"},
		"age":                  {Section{MaxMessages: 99, MaxAge: 5.5 * 60}, false, "m3 m4 m5 m6 m7"},
		"a class":              {Section{MaxMessages: 99, Bounds: []Bound{{Class: "fee-payment", MaxMessages: 1}}}, false, "m1 m3 m5 m6 m7"},
		"a tenant":             {Section{MaxMessages: 99, Bounds: []Bound{{Tenant: "sahiwal", MaxMessages: 3}}}, false, "m0 m1 m3 m4 m5 m6 m7"},
		"a class of a tenant":  {Section{MaxMessages: 99, Bounds: []Bound{{Class: "parcel-status", Tenant: "lahore", MaxAge: 60}}}, false, "m0 m2 m3 m4 m6 m7"},
		"bytes":                {Section{MaxMessages: 99, Bounds: []Bound{{Class: "fee-payment", MaxMB: 25e-6}}}, false, "m1 m3 m4 m5 m6 m7"},
		"full: ended messages": {Section{MaxMessages: 99}, true, "m0 m1 m2 m4 m5 m6 m7"},
		"many: ended messages": {Section{MaxMessages: 8}, false, "m0 m1 m2 m4 m5 m6 m7"},
	} {
		t.Run(name, func(t *testing.T) {
			s := openStore(t, t.TempDir())
			fillStore(t, s, 8)
			if err := s.Change("m3", func(r *Record) (time.Time, error) { r.State = Discarded; return time.Time{}, nil }); err != nil {
				t.Fatal(err)
			}
			b := NewBounds(s, &c.section)
			for range 2 { // the second round must remove nothing more
				if _, err := b.Enforce(noon, c.full); err != nil {
					t.Fatal(err)
				}
			}
			if got := storedIDs(t, s); got != c.want {
				t.Errorf("stored: %s, want %s", got, c.want)
			}
		})
	}
}

// Messages are exported before they are removed by a bound, and the export can be imported.
func TestBounds_ExportBeforeRemoval(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	fillStore(t, s, 4)
	if n, err := NewBounds(s, &Section{Folder: dir, MaxMessages: 99, MaxAge: 150, Export: true}).Enforce(noon, false); err != nil || n != 2 {
		t.Fatalf("%d messages removed, want 2; %v", n, err)
	}
	path := filepath.Join(dir, "left-20260630.jsonl")
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if info, _ := os.Stat(path); info.Mode().Perm() != 0o600 {
		t.Errorf("the export has mode %v, want 0600", info.Mode())
	}
	other := newAdmin(t)
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		if code := serve(t, other, "POST", "/import", line, nil); code != 200 {
			t.Errorf("import: status %d", code)
		}
	}
	if got := storedIDs(t, other.Store); got != "m0 m1" {
		t.Errorf("imported %s, want m0 m1", got)
	}
	if body, err := other.Store.Body("m1"); err != nil || string(body) != "body of m1" {
		t.Errorf("imported body %q, %v", body, err)
	}
}

// The space of removed messages is reused, so the file does not grow far beyond its quota, however many messages are stored
// and removed.
func TestStore_ReusesSpaceOfRemovedMessages(t *testing.T) {
	dir := t.TempDir()
	const quota = 1 << 20
	s, err := Open(dir, quota, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	b := NewBounds(s, &Section{Folder: dir, MaxMessages: 1 << 30})
	timesFull := 0
	for i := range 4000 {
		m := newMessage(fmt.Sprint("m", i))
		m.State, m.Body = Delivered, make([]byte, 1000)
		for err = s.Put([]Message{m}); errors.Is(err, ErrFull); err = s.Put([]Message{m}) {
			if timesFull++; timesFull > 4000 {
				t.Fatal("the store stays full although ended messages can be removed")
			}
			if _, err := b.Enforce(noon, true); err != nil {
				t.Fatal(err)
			}
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if timesFull == 0 || s.Size() > 2*quota {
		t.Errorf("the store was full %d times and has %d bytes at the end", timesFull, s.Size())
	}
}
