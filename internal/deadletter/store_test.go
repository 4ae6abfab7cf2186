package deadletter

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

func openStore(tb testing.TB, dir string) *Store {
	tb.Helper()
	s, err := Open(dir, 0, 0)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = s.Close() })
	return s
}

func kept(id string) Message {
	return Message{Record: Record{
		ID: id, Class: "fee-payment", Tenant: "lahore", Destination: 3, State: Held, Since: noon,
		Incarnations: []Incarnation{life(id, DeadlineExceeded, attempt(20*time.Second, ExecutionUnknown))},
	}, Body: []byte("body of " + id)}
}

func put(tb testing.TB, s *Store, ids ...string) {
	tb.Helper()
	for _, id := range ids {
		if err := s.Put([]Message{kept(id)}); err != nil {
			tb.Fatal(err)
		}
	}
}

func TestStoreKeepsOnce(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	put(t, s, "a", "b", "a")
	if err := s.Put([]Message{kept("b"), kept("c")}); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = openStore(t, dir)
	totals, groups, err := s.Totals()
	if err != nil || totals.Messages != 3 || totals.States[Held] != 3 || len(groups) != 1 || groups[0].Messages != 3 {
		t.Errorf("%+v, %+v, %v", totals, groups, err)
	}
	r, err := s.Get("b")
	want := kept("b").Record
	want.Version, want.BodySize = Version, len("body of b")
	if err != nil || !reflect.DeepEqual(*r, want) {
		t.Errorf("got %+v, want %+v, %v", r, want, err)
	}
	if body, err := s.Body("b"); err != nil || string(body) != "body of b" {
		t.Errorf("body %q, %v", body, err)
	}
	if _, err := s.Get("z"); !errors.Is(err, ErrUnknown) {
		t.Errorf("an unknown id: %v", err)
	}
	if info, err := os.Stat(filepath.Join(dir, fileName)); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v", info.Mode(), err)
	}
}

func TestChangesAndDueTimes(t *testing.T) {
	s := openStore(t, t.TempDir())
	put(t, s, "a", "b", "c")
	for i, id := range []string{"c", "a", "b"} {
		if err := s.Change(id, func(*Record) (time.Time, error) { return noon.Add(time.Duration(i) * time.Second), nil }); err != nil {
			t.Fatal(err)
		}
	}
	by := func(at time.Time, most int) (ids string) {
		t.Helper()
		due, err := s.Due(at, func(int) int { return most })
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range due {
			ids += r.ID
		}
		return ids
	}
	if got := by(noon.Add(time.Second), 9); got != "ca" {
		t.Errorf("due %q", got)
	}
	if got := by(noon.Add(time.Hour), 2); got != "ca" {
		t.Errorf("at most two: %q", got)
	}
	other := kept("o")
	other.Destination, other.Due = 9, noon.Add(time.Minute)
	if err := s.Put([]Message{other}); err != nil {
		t.Fatal(err)
	}
	if got := by(noon.Add(time.Hour), 1); got != "co" {
		t.Errorf("one of each partner: %q", got)
	}
	if err := s.Remove([]string{"o"}); err != nil {
		t.Fatal(err)
	}
	// A resend takes a new id; the message is found by either.
	err := s.Change("a", func(r *Record) (time.Time, error) {
		r.State, r.Incarnations = Redelivering, append(r.Incarnations, Incarnation{ID: "a2"})
		return time.Time{}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if r, err := s.Get("a2"); err != nil || r.ID != "a" || r.State != Redelivering {
		t.Errorf("by its second id: %+v, %v", r, err)
	}
	put(t, s, "a2") // handed over once more after a crash: no second record
	if totals, _, _ := s.Totals(); totals.Messages != 3 || totals.States[Redelivering] != 1 || totals.States[Held] != 2 {
		t.Errorf("%+v", totals)
	}
	if got := by(noon.Add(time.Hour), 9); got != "cb" {
		t.Errorf("due after one went out: %q", got)
	}
	if err := s.Change("b", func(r *Record) (time.Time, error) { r.State = Discarded; return noon, errors.New("no") }); err == nil {
		t.Error("no error")
	}
	if r, _ := s.Get("b"); r.State != Held {
		t.Error("a change that failed was kept")
	}
	if err := s.Remove([]string{"b", "z", "a2"}); err != nil {
		t.Fatal(err)
	}
	totals, groups, _ := s.Totals()
	if totals.Messages != 1 || totals.RemovedByBound["fee-payment of lahore"] != 3 || groups[0].Messages != 1 || groups[0].Bytes != int64(len("body of c")) {
		t.Errorf("%+v %+v", totals, groups)
	}
	if got := by(noon.Add(time.Hour), 9); got != "c" {
		t.Errorf("due after two were removed: %q", got)
	}
}

func TestPages(t *testing.T) {
	s := openStore(t, t.TempDir())
	var want []string
	for i := range 25 {
		put(t, s, fmt.Sprint(i))
		if i%2 == 0 {
			want = append(want, fmt.Sprint(i))
		}
	}
	var got []string
	even := func(r *Record) bool { return (r.ID[len(r.ID)-1]-'0')%2 == 0 }
	for from, rounds := uint64(0), 0; rounds == 0 || from > 0; rounds++ {
		page, next, damaged, err := s.Page(from, 4, 6, even)
		if err != nil || damaged > 0 || len(page) > 4 || rounds > 20 {
			t.Fatalf("%d, %d, %v", len(page), damaged, err)
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

func TestAFullStoreSaysSo(t *testing.T) {
	s, err := Open(t.TempDir(), 256<<10, 4)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	put(t, s, "a", "b", "c")
	if err := s.Put([]Message{kept("d"), kept("e")}); !errors.Is(err, ErrFull) {
		t.Errorf("more than its messages: %v", err)
	}
	if totals, _, _ := s.Totals(); totals.Messages != 3 {
		t.Errorf("a batch that did not fit left %d", totals.Messages)
	}
	big := kept("big")
	big.Body = make([]byte, 300<<10)
	if err := s.Put([]Message{big}); !errors.Is(err, ErrFull) {
		t.Errorf("more than its bytes: %v", err)
	}
	if err := s.MarkDropped([]string{"d", "e", "d"}, "full", noon); err != nil {
		t.Fatal(err)
	}
	if totals, _, _ := s.Totals(); totals.Dropped != 2 {
		t.Errorf("%d listed as not kept", totals.Dropped)
	}
}

func TestTwoProcessesAndOtherVersions(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	put(t, s, "a")
	if _, err := Open(dir, 0, 0); !errors.Is(err, ErrInUse) {
		t.Errorf("a second one: %v", err)
	}
	if _, err := OpenToRead(dir); !errors.Is(err, ErrInUse) {
		t.Errorf("a reader beside a writer: %v", err)
	}
	_ = s.Close()
	r, err := OpenToRead(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.Get("a"); err != nil {
		t.Error(err)
	}
	if err := r.Put([]Message{kept("b")}); err == nil {
		t.Error("a reader may write")
	}
	_ = r.Close()
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
		t.Errorf("a newer version: %v", err)
	}
	if _, err := OpenToRead(t.TempDir()); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no store: %v", err)
	}
}

// pageSize of the test's files, as bbolt takes it from the system.
var pageSize = os.Getpagesize()

// pages are those at which two states of a file differ, in the order in which bbolt writes them: by number, and of the
// two meta pages the one that commits last.
func pages(before, after []byte) (list []int) {
	for n := 0; n*pageSize < len(after); n++ {
		a, b := n*pageSize, min(len(after), (n+1)*pageSize)
		if b > len(before) || !bytes.Equal(before[a:b], after[a:b]) {
			list = append(list, n)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i] > 1 && list[j] <= 1 })
	return list
}

// A process that ends between any two writes of a hand-over, or in the middle of one, leaves all that was there
// before, and of the new message all or nothing; and handing it over again gives it once.
func TestEveryWriteBoundary(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	s := openStore(t, dir)
	put(t, s, "a", "b", "c")
	topics(t, s, time.Hour)
	_ = s.Close()
	for _, step := range []struct {
		name string
		do   func(s *Store) error
		done func(s *Store) bool
	}{
		{"put", func(s *Store) error { return s.Put([]Message{kept("d")}) }, func(s *Store) bool { _, err := s.Get("d"); return err == nil }},
		{"resend", func(s *Store) error {
			return s.Change("b", func(r *Record) (time.Time, error) {
				r.State, r.Incarnations = Redelivering, append(r.Incarnations, Incarnation{ID: "b2"})
				return noon, nil
			})
		}, func(s *Store) bool { r, err := s.Get("b2"); return err == nil && r.State == Redelivering }},
		{"a newer one delivered", func(s *Store) error {
			return s.RecordDelivered([]Delivery{{"new", Topic{"c", 3, "s"}, Order{Whole: 9}}})
		}, func(s *Store) bool { by, _ := s.Newer(about("s", Order{Whole: 5})); return by == "new" }},
		{"remove", func(s *Store) error { return s.Remove([]string{"a"}) }, func(s *Store) bool { _, err := s.Get("a"); return err != nil }},
	} {
		before, _ := os.ReadFile(path)
		s := openStore(t, dir)
		if err := step.do(s); err != nil {
			t.Fatal(err)
		}
		_ = s.Close()
		after, _ := os.ReadFile(path)
		list := pages(before, after)
		if len(list) < 3 {
			t.Fatalf("%s: %d pages differ: the test sees no writes", step.name, len(list))
		}
		seen := map[bool]int{}
		for n := 0; n <= len(list); n++ {
			for _, half := range []bool{false, true} { // the next page whole, or torn
				file := append(append([]byte{}, before...), make([]byte, max(0, len(after)-len(before)))...)
				for i, page := range list[:min(len(list), n+1)] {
					a, b := page*pageSize, min(len(after), (page+1)*pageSize)
					if i == n {
						if !half {
							break
						}
						b = a + (b-a)/2
					}
					copy(file[a:b], after[a:b])
				}
				where := t.TempDir()
				if err := os.WriteFile(filepath.Join(where, fileName), file, 0o600); err != nil {
					t.Fatal(err)
				}
				s, err := Open(where, 0, 0)
				if err != nil {
					t.Fatalf("%s, %d writes of %d: %v", step.name, n, len(list), err)
				}
				for _, id := range []string{"b", "c"} {
					if _, err := s.Get(id); err != nil {
						t.Errorf("%s, %d writes of %d: %s: %v", step.name, n, len(list), id, err)
					}
				}
				if _, faults := s.Verify(); len(faults) > 0 {
					t.Errorf("%s, %d writes: %v", step.name, n, faults)
				}
				done := step.done(s)
				seen[done]++
				if done && n < len(list)-1 {
					t.Errorf("%s: done after %d writes of %d", step.name, n, len(list))
				}
				if err := step.do(s); err != nil || !step.done(s) {
					t.Errorf("%s again after %d writes: %v", step.name, n, err)
				}
				_ = s.Close()
			}
		}
		if seen[true] == 0 || seen[false] == 0 {
			t.Errorf("%s: done %d times, not done %d times", step.name, seen[true], seen[false])
		}
	}
}

// A flipped bit or a torn page is found, and the rest is still there.
func TestVerifyFindsDamage(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	s := openStore(t, dir)
	const n = 400
	for i := range n {
		put(t, s, fmt.Sprintf("m%03d", i))
	}
	if good, faults := s.Verify(); good != n || len(faults) > 0 {
		t.Fatalf("%d good, %v", good, faults)
	}
	_ = s.Close()
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	damage := func(change func(b []byte)) (good int, faults []Fault) {
		t.Helper()
		b := append([]byte{}, whole...)
		change(b)
		where := t.TempDir()
		if err := os.WriteFile(filepath.Join(where, fileName), b, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := OpenToRead(where)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		return s.Verify()
	}
	text := bytes.LastIndex(whole, []byte(`"id":"m200"`))
	if good, faults := damage(func(b []byte) { b[text+6] ^= 1 }); good != n-1 || len(faults) != 1 || !strings.Contains(faults[0].What, "damaged") {
		t.Errorf("a flipped bit in a record: %d good, %v", good, faults)
	}
	body := bytes.LastIndex(whole, []byte("body of m100"))
	if good, faults := damage(func(b []byte) { b[body] ^= 1 }); good != n-1 || len(faults) != 1 {
		t.Errorf("a flipped bit in a body: %d good, %v", good, faults)
	}
	if good, faults := damage(func(b []byte) {
		from := text / pageSize * pageSize
		clear(b[from : from+pageSize])
	}); good < n-40 || good >= n || len(faults) == 0 {
		t.Errorf("a page of nothing: %d good, %v", good, faults)
	}
}

// measure has the figures of the design note taken.
var measure = flag.Bool("measure", false, "measure the store with a million messages")

func TestMeasureAMillion(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	dir := t.TempDir()
	s := openStore(t, dir)
	const n, batch = 1_000_000, 50
	begun := time.Now()
	for i := 0; i < n; i += batch {
		var list []Message
		for j := range batch {
			k := kept(fmt.Sprintf("%012x0000", (i+j)*2654435761%(1<<44)))
			k.Body = make([]byte, 400)
			list = append(list, k)
		}
		if err := s.Put(list); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%.0f messages a second, %d bytes each on disk", n/time.Since(begun).Seconds(), s.Size()/n)
	_ = s.Close()
	begun = time.Now()
	s = openStore(t, dir)
	if _, _, err := s.Totals(); err != nil {
		t.Fatal(err)
	}
	t.Logf("open and totals in %v", time.Since(begun))
	begun = time.Now()
	page, _, _, err := s.Page(777_777, 100, 1000, nil)
	if err != nil || len(page) != 100 {
		t.Fatal(len(page), err)
	}
	t.Logf("a page of 100 in %v", time.Since(begun))
	raw, _ := os.ReadFile("/proc/self/status")
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "VmRSS") || strings.HasPrefix(line, "RssAnon") {
			t.Log(strings.TrimSpace(line))
		}
	}
}

// A store of which nothing but its first pages can be read is an error, and no end of the relay.
func TestAStoreThatCantBeRead(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	put(t, s, "a", "b", "c")
	_ = s.Close()
	path := filepath.Join(dir, fileName)
	file, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := 2 * pageSize; i < len(file); i++ {
		file[i] = 0xa5
	}
	if err := os.WriteFile(path, file, 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 { // the first leaves no lock behind
		if s, err := Open(dir, 0, 0); err == nil || errors.Is(err, ErrInUse) {
			t.Errorf("opened: %v, %v", s, err)
		}
	}
}
