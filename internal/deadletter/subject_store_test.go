package deadletter

import (
	"encoding/binary"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// sectionWith returns a section that defines the subjects of class c, after applying a change to the section.
func sectionWith(change func(s *Section)) *Section {
	section := &Section{
		MaxSubjects: 100, StickySubjects: true, SubjectSettlingTime: defaultSettlingTime,
		Subjects: []Subject{{Class: "c", Header: "Parcel", Order: byNumber, OrderHeader: "Seq"}},
	}
	change(section)
	return section
}

// trackSubjects makes a store track up to 100 topics, beginning some time before noon.
func trackSubjects(t *testing.T, s *Store, ago time.Duration) {
	t.Helper()
	if err := s.TrackSubjects(sectionWith(func(*Section) {}), false, noon.Add(-ago)); err != nil {
		t.Fatal(err)
	}
}

// messageAbout returns a held message whose subject is s.
func messageAbout(id string, order int64, attempts ...Attempt) Message {
	r := recordAbout("s", orderOf(order))
	r.ID, r.Incarnations = id, []Incarnation{newIncarnation(id, DeadlineExceeded, attempts...)}
	return Message{Record: *r, Body: []byte(id)}
}

func TestStore_FindsNewerMessageAfterRestart(t *testing.T) {
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
		want  string // id of the newer message of the topic
	}{
		"both wait":                                               {messageAbout("b", 6), func(*testing.T, *Store) {}, "b"},
		"the newer one is in flight":                              {messageAbout("b", 6), end("b", Redelivering), "b"},
		"the newer one was delivered":                             {messageAbout("b", 6), end("b", Delivered), "b"},
		"the newer one was discarded and not executed":            {messageAbout("b", 6, attemptAgo(time.Minute, NotExecuted)), end("b", Discarded), ""},
		"the newer one was discarded, and may have been executed": {messageAbout("b", 6, attemptAgo(time.Minute, ExecutionUnknown)), end("b", Discarded), "b"},
		"the newer one was removed by a bound":                    {messageAbout("b", 6), remove("b"), ""},
		"the newer one was removed, and may have been executed":   {messageAbout("b", 6, attemptAgo(time.Minute, ExecutionUnknown)), remove("b"), "b"},
		"the older one was delivered":                             {messageAbout("b", 4), end("b", Delivered), ""},
		"the newer one has no subject, and was not executed": {
			func() Message { m := messageAbout("b", 6); m.Subject, m.Order = "", nil; return m }(),
			func(*testing.T, *Store) {}, "",
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s := openStore(t, dir)
			trackSubjects(t, s, time.Hour)
			if err := s.Put([]Message{messageAbout("a", 5), c.newer}); err != nil {
				t.Fatal(err)
			}
			c.then(t, s)
			_ = s.Close()
			s = openStore(t, dir) // as a restarted relay does
			trackSubjects(t, s, 0)
			r, err := s.Get("a")
			if err != nil {
				t.Fatal(err)
			}
			if id, known := s.Newer(r); id != c.want || !known {
				t.Errorf("newer: %q, known %v", id, known)
			}
		})
	}
}

func TestStore_ReportsUnknownNewerMessage(t *testing.T) {
	for name, change := range map[string]func(s *Store) error{
		"an unreadable message was delivered": func(s *Store) error {
			return s.RecordDelivered([]Delivery{{"x", Topic{"c", 3, ""}, Order{Arrival: 9}}})
		},
		"an unreadable message waits, and may have been executed": func(s *Store) error {
			m := messageAbout("x", 1, attemptAgo(time.Second, ExecutionUnknown))
			m.Subject, m.Order = "", &Order{Arrival: 9}
			return s.Put([]Message{m})
		},
		"deliveries may have been missed": func(s *Store) error { return s.TrackSubjects(sectionWith(func(*Section) {}), true, noon) },
		"other relays deliver too": func(s *Store) error {
			return s.TrackSubjects(sectionWith(func(s *Section) { s.StickySubjects = false }), false, noon)
		},
		"subjects were not read for a while": func(s *Store) error {
			return s.TrackSubjects(sectionWith(func(s *Section) { s.Subjects = nil }), false, noon)
		},
		"the definition changed": func(s *Store) error {
			return s.TrackSubjects(sectionWith(func(s *Section) { s.Subjects[0].Order = byTime }), false, noon)
		},
		"a bucket can't be read": func(s *Store) error {
			return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(epochsBucket).Put([]byte("c"), []byte("{")) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := openStore(t, t.TempDir())
			trackSubjects(t, s, time.Hour)
			if err := s.Put([]Message{messageAbout("a", 5)}); err != nil {
				t.Fatal(err)
			}
			r, err := s.Get("a")
			if err != nil {
				t.Fatal(err)
			}
			if id, known := s.Newer(r); id != "" || !known {
				t.Errorf("newer before the change: %q, known %v", id, known)
			}
			if err := change(s); err != nil {
				t.Error(err)
			}
			if id, known := s.Newer(r); id != "" || known {
				t.Errorf("newer after the change: %q, known %v", id, known)
			}
		})
	}
}

// A store of version 1 has no topics. It can be read, and tracks topics once it was opened for writing.
func TestOpen_UpgradesEarlierVersion(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	storeMessages(t, s, "a", "b")
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
		t.Errorf("read-only: %+v, %v", r, err)
	}
	r.Subject, r.Order = "s", &Order{}
	if id, known := s.Newer(r); id != "" || known {
		t.Errorf("newer, read-only: %q, known %v", id, known)
	}
	_ = s.Close()
	s = openStore(t, dir)
	trackSubjects(t, s, time.Hour)
	if err := s.Put([]Message{messageAbout("d", 5), messageAbout("e", 6)}); err != nil {
		t.Fatal(err)
	}
	r, err = s.Get("d")
	if err != nil {
		t.Fatal(err)
	}
	if id, known := s.Newer(r); id != "e" || !known {
		t.Errorf("newer: %q, known %v", id, known)
	}
	if totals, _, err := s.Totals(); err != nil || totals.Messages != 4 {
		t.Errorf("totals %+v, %v", totals, err)
	}
	if id, err := s.ID(); err != nil || len(id) != 16 {
		t.Errorf("id %q, %v", id, err)
	}
}
