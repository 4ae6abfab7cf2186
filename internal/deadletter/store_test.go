package deadletter

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

func TestStore_StoresEachMessageOnce(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	storeMessages(t, s, "a", "b", "a")
	if err := s.Put([]Message{newMessage("b"), newMessage("c")}); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = openStore(t, dir)
	totals, groups, err := s.Totals()
	if err != nil || totals.Messages != 3 || totals.States[Held] != 3 || len(groups) != 1 || groups[0].Messages != 3 {
		t.Errorf("totals %+v, groups %+v, %v", totals, groups, err)
	}
	r, err := s.Get("b")
	want := newMessage("b").Record
	want.Version, want.BodySize = Version, len("body of b")
	if err != nil || !reflect.DeepEqual(*r, want) {
		t.Errorf("got %+v, want %+v, %v", r, want, err)
	}
	if body, err := s.Body("b"); err != nil || string(body) != "body of b" {
		t.Errorf("body %q, %v", body, err)
	}
	if _, err := s.Get("z"); !errors.Is(err, ErrUnknown) {
		t.Errorf("get of an unknown id: %v", err)
	}
	if info, err := os.Stat(filepath.Join(dir, fileName)); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the file has mode %v, want 0600; %v", info.Mode(), err)
	}
}

func TestStore_ChangesMessagesAndDueTimes(t *testing.T) {
	s := openStore(t, t.TempDir())
	storeMessages(t, s, "a", "b", "c")
	for i, id := range []string{"c", "a", "b"} {
		if err := s.Change(id, func(*Record) (time.Time, error) { return noon.Add(time.Duration(i) * time.Second), nil }); err != nil {
			t.Fatal(err)
		}
	}
	dueIDs := func(at time.Time, limit int) (ids string) {
		t.Helper()
		due, err := s.Due(at, func(int) int { return limit })
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range due {
			ids += r.ID
		}
		return ids
	}
	if got := dueIDs(noon.Add(time.Second), 9); got != "ca" {
		t.Errorf("due %q", got)
	}
	if got := dueIDs(noon.Add(time.Hour), 2); got != "ca" {
		t.Errorf("due, with a limit of two: %q", got)
	}
	other := newMessage("o")
	other.Destination, other.Due = 9, noon.Add(time.Minute)
	if err := s.Put([]Message{other}); err != nil {
		t.Fatal(err)
	}
	if got := dueIDs(noon.Add(time.Hour), 1); got != "co" {
		t.Errorf("due, with a limit of one for each destination: %q", got)
	}
	if err := s.Remove([]string{"o"}); err != nil {
		t.Fatal(err)
	}
	// A redelivery has a new id. The message is found by both ids.
	err := s.Change("a", func(r *Record) (time.Time, error) {
		r.State, r.Incarnations = Redelivering, append(r.Incarnations, Incarnation{ID: "a2"})
		return time.Time{}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if r, err := s.Get("a2"); err != nil || r.ID != "a" || r.State != Redelivering {
		t.Errorf("get by the second id: %+v, %v", r, err)
	}
	storeMessages(t, s, "a2") // submitted again, as after a crash; adds no second record
	if totals, _, _ := s.Totals(); totals.Messages != 3 || totals.States[Redelivering] != 1 || totals.States[Held] != 2 {
		t.Errorf("totals after a redelivery began: %+v", totals)
	}
	if got := dueIDs(noon.Add(time.Hour), 9); got != "cb" {
		t.Errorf("due after a redelivery began: %q", got)
	}
	if err := s.Change("b", func(r *Record) (time.Time, error) { r.State = Discarded; return noon, errors.New("no") }); err == nil {
		t.Error("Change did not return the error of edit")
	}
	if r, _ := s.Get("b"); r.State != Held {
		t.Error("a failed change was stored")
	}
	if err := s.Remove([]string{"b", "z", "a2"}); err != nil {
		t.Fatal(err)
	}
	totals, groups, _ := s.Totals()
	if totals.Messages != 1 || totals.RemovedByBound["fee-payment of lahore"] != 3 || groups[0].Messages != 1 || groups[0].Bytes != int64(len("body of c")) {
		t.Errorf("after two messages were removed: totals %+v, groups %+v", totals, groups)
	}
	if got := dueIDs(noon.Add(time.Hour), 9); got != "c" {
		t.Errorf("due after two were removed: %q", got)
	}
}

func TestStore_PageReturnsEachMatchOnce(t *testing.T) {
	s := openStore(t, t.TempDir())
	var want []string
	for i := range 25 {
		storeMessages(t, s, fmt.Sprint(i))
		if i%2 == 0 {
			want = append(want, fmt.Sprint(i))
		}
	}
	var got []string
	even := func(r *Record) bool { return (r.ID[len(r.ID)-1]-'0')%2 == 0 }
	for from, rounds := uint64(0), 0; rounds == 0 || from > 0; rounds++ {
		page, next, damaged, err := s.Page(from, 4, 6, even)
		if err != nil || damaged > 0 || len(page) > 4 || rounds > 20 {
			t.Fatalf("page of %d messages, %d damaged, %v", len(page), damaged, err)
		}
		for _, r := range page {
			got = append(got, r.ID)
		}
		from = next
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestStore_PutFailsWhenFull(t *testing.T) {
	s, err := Open(t.TempDir(), 256<<10, 4)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	storeMessages(t, s, "a", "b", "c")
	if err := s.Put([]Message{newMessage("d"), newMessage("e")}); !errors.Is(err, ErrFull) {
		t.Errorf("put beyond the limit of messages: %v", err)
	}
	if totals, _, _ := s.Totals(); totals.Messages != 3 {
		t.Errorf("after a batch that did not fit, %d messages are stored, want 3", totals.Messages)
	}
	big := newMessage("big")
	big.Body = make([]byte, 300<<10)
	if err := s.Put([]Message{big}); !errors.Is(err, ErrFull) {
		t.Errorf("put beyond the limit of bytes: %v", err)
	}
	if err := s.MarkDropped([]string{"d", "e", "d"}, "full", noon); err != nil {
		t.Fatal(err)
	}
	if totals, _, _ := s.Totals(); totals.Dropped != 2 {
		t.Errorf("%d messages are listed as dropped, want 2", totals.Dropped)
	}
}

func TestOpen_RejectsSecondProcessAndNewerVersion(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	storeMessages(t, s, "a")
	if _, err := Open(dir, 0, 0); !errors.Is(err, ErrInUse) {
		t.Errorf("open by a second writer: %v", err)
	}
	if _, err := OpenToRead(dir); !errors.Is(err, ErrInUse) {
		t.Errorf("open by a reader while a writer is open: %v", err)
	}
	_ = s.Close()
	reader, err := OpenToRead(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := reader.Get("a"); err != nil {
		t.Error(err)
	}
	if err := reader.Put([]Message{newMessage("b")}); err == nil {
		t.Error("a read-only store accepted a message")
	}
	_ = reader.Close()
	db, err := bbolt.Open(filepath.Join(dir, fileName), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(versionKey, []byte{0, 0, 0, 9}) })
	if err != nil {
		t.Fatal(err)
	}
	_ = db.Close()
	if _, err := Open(dir, 0, 0); !errors.Is(err, ErrNewer) {
		t.Errorf("open of a newer version: %v", err)
	}
	if _, err := OpenToRead(t.TempDir()); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("open of a folder without a store: %v", err)
	}
}
