package deadletter

import (
	"encoding/binary"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// parcels is a section that reads class c's subjects; change makes it another.
func parcels(change func(s *Section)) *Section {
	s := &Section{
		MaxSubjects: 100, StickySubjects: true, SubjectSettlingTime: defaultSettlingTime,
		Subjects: []Subject{{Class: "c", Header: "Parcel", Order: byNumber, OrderHeader: "Seq"}},
	}
	change(s)
	return s
}

// topics has a store know of 100 topics since some time before noon.
func topics(t *testing.T, s *Store, ago time.Duration) {
	t.Helper()
	if err := s.TrackSubjects(parcels(func(*Section) {}), false, noon.Add(-ago)); err != nil {
		t.Fatal(err)
	}
}

// statusOf is a kept message of topic s.
func statusOf(id string, order int64, attempts ...Attempt) Message {
	r := about("s", at(order))
	r.ID, r.Incarnations = id, []Incarnation{life(id, DeadlineExceeded, attempts...)}
	return Message{Record: *r, Body: []byte(id)}
}

func TestTopicsInTheStore(t *testing.T) {
	end := func(id string, state State) func(t *testing.T, s *Store) {
		return func(t *testing.T, s *Store) {
			t.Helper()
			err := s.Change(id, func(r *Record) (time.Time, error) { r.State = state; return time.Time{}, nil })
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	remove := func(id string) func(t *testing.T, s *Store) {
		return func(t *testing.T, s *Store) {
			t.Helper()
			if err := s.Remove([]string{id}); err != nil {
				t.Fatal(err)
			}
		}
	}
	for name, c := range map[string]struct {
		newer Message
		then  func(t *testing.T, s *Store)
		by    string
	}{
		"both wait":                      {statusOf("b", 6), func(*testing.T, *Store) {}, "b"},
		"the newer one is out":           {statusOf("b", 6), end("b", Redelivering), "b"},
		"it was delivered":               {statusOf("b", 6), end("b", Delivered), "b"},
		"it was discarded and never ran": {statusOf("b", 6, attempt(time.Minute, NotExecuted)), end("b", Discarded), ""},
		"discarded, it may have run":     {statusOf("b", 6, attempt(time.Minute, ExecutionUnknown)), end("b", Discarded), "b"},
		"it left by a bound":             {statusOf("b", 6), remove("b"), ""},
		"it left, and may have run":      {statusOf("b", 6, attempt(time.Minute, ExecutionUnknown)), remove("b"), "b"},
		"the older one was delivered":    {statusOf("b", 4), end("b", Delivered), ""},
		"it has no subject, and never ran": {
			func() Message { k := statusOf("b", 6); k.Subject, k.Order = "", nil; return k }(),
			func(*testing.T, *Store) {}, "",
		},
	} {
		dir := t.TempDir()
		s := openStore(t, dir)
		topics(t, s, time.Hour)
		if err := s.Put([]Message{statusOf("a", 5), c.newer}); err != nil {
			t.Fatal(err)
		}
		c.then(t, s)
		_ = s.Close()
		s = openStore(t, dir) // as the next process finds it
		topics(t, s, 0)
		r, err := s.Get("a")
		if err != nil {
			t.Fatal(err)
		}
		if by, known := s.Newer(r); by != c.by || !known {
			t.Errorf("%s: %q, %v", name, by, known)
		}
	}
}

func TestWhatTheStoreCantTell(t *testing.T) {
	for name, spoil := range map[string]func(s *Store) error{
		"a message that can't be read was delivered": func(s *Store) error {
			return s.RecordDelivered([]Delivery{{"x", Topic{"c", 3, ""}, Order{Arrival: 9}}})
		},
		"one that can't be read waits, and may have run": func(s *Store) error {
			k := statusOf("x", 1, attempt(time.Second, ExecutionUnknown))
			k.Subject, k.Order = "", &Order{Arrival: 9}
			return s.Put([]Message{k})
		},
		"something may be missing": func(s *Store) error { return s.TrackSubjects(parcels(func(*Section) {}), true, noon) },
		"other relays deliver too": func(s *Store) error {
			return s.TrackSubjects(parcels(func(s *Section) { s.StickySubjects = false }), false, noon)
		},
		"not read for a while": func(s *Store) error {
			return s.TrackSubjects(parcels(func(s *Section) { s.Subjects = nil }), false, noon)
		},
		"read otherwise than before": func(s *Store) error {
			return s.TrackSubjects(parcels(func(s *Section) { s.Subjects[0].Order = byTime }), false, noon)
		},
		"a bucket can't be read": func(s *Store) error {
			return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(epochsBucket).Put([]byte("c"), []byte("{")) })
		},
	} {
		s := openStore(t, t.TempDir())
		topics(t, s, time.Hour)
		if err := s.Put([]Message{statusOf("a", 5)}); err != nil {
			t.Fatal(err)
		}
		r, err := s.Get("a")
		if err != nil {
			t.Fatal(err)
		}
		if by, known := s.Newer(r); by != "" || !known {
			t.Errorf("%s: before %q, %v", name, by, known)
		}
		if err := spoil(s); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if by, known := s.Newer(r); by != "" || known {
			t.Errorf("%s: %q, %v", name, by, known)
		}
	}
}

// A store of version 1 has no topics: it is read, and takes them up from then on.
func TestAStoreOfAnEarlierVersion(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	put(t, s, "a", "b")
	err := s.db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{newestBucket, insertionBucket, waitingBucket, epochsBucket} {
			if err := tx.DeleteBucket(b); err != nil {
				return err
			}
		}
		_ = tx.Bucket(metaBucket).Delete(storeIDKey)
		return tx.Bucket(metaBucket).Put(versionKey, binary.BigEndian.AppendUint32(nil, 1))
	})
	if err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	if s, err = OpenToRead(dir); err != nil {
		t.Fatal(err)
	}
	r, err := s.Get("b")
	if err != nil || r.ID != "b" {
		t.Errorf("read only: %+v, %v", r, err)
	}
	r.Subject, r.Order = "s", &Order{}
	if by, known := s.Newer(r); by != "" || known {
		t.Errorf("it tells %q, %v", by, known)
	}
	_ = s.Close()
	s = openStore(t, dir)
	topics(t, s, time.Hour)
	if err := s.Put([]Message{statusOf("d", 5), statusOf("e", 6)}); err != nil {
		t.Fatal(err)
	}
	r, err = s.Get("d")
	if err != nil {
		t.Fatal(err)
	}
	if by, known := s.Newer(r); by != "e" || !known {
		t.Errorf("it tells %q, %v", by, known)
	}
	if totals, _, err := s.Totals(); err != nil || totals.Messages != 4 {
		t.Errorf("%+v, %v", totals, err)
	}
	if id, err := s.ID(); err != nil || len(id) != 16 {
		t.Errorf("id %q, %v", id, err)
	}
}
