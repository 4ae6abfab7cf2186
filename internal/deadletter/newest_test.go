package deadletter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// memorySubjects is a shelf in memory.
type memorySubjects struct {
	eras  map[string]*trackingEpoch
	all   map[Topic]newestMessage
	order []Topic // put longest ago first
	wait  map[Topic][]newestMessage
}

func newPlainShelf() *memorySubjects {
	return &memorySubjects{eras: map[string]*trackingEpoch{}, all: map[Topic]newestMessage{}, wait: map[Topic][]newestMessage{}}
}

func (s *memorySubjects) epoch(class string) *trackingEpoch       { return s.eras[class] }
func (s *memorySubjects) setEpoch(class string, e *trackingEpoch) { s.eras[class] = e }
func (s *memorySubjects) size() int                               { return len(s.all) }

func (s *memorySubjects) newest(t Topic) *newestMessage {
	if l, ok := s.all[t]; ok {
		return &l
	}
	return nil
}

func (s *memorySubjects) put(t Topic, l newestMessage) {
	s.order = append(slices.DeleteFunc(s.order, func(o Topic) bool { return o == t }), t)
	s.all[t] = l
}

func (s *memorySubjects) evictOldest() (string, *newestMessage) {
	t := s.order[0]
	l := s.all[t]
	s.order = s.order[1:]
	delete(s.all, t)
	return t.Class, &l
}

func (s *memorySubjects) waiting(t Topic, version int) (best *newestMessage) {
	for _, l := range s.wait[t] {
		if l.Version == version && (best == nil || l.Order.compare(best.Order) > 0) {
			best = &l
		}
	}
	return best
}

// known gives what knows of class c, read since an hour before noon.
func known(most int) (*Newest, *memorySubjects) {
	s := newPlainShelf()
	n := &Newest{storage: s, maxSubjects: most, exclusive: true, settlingTime: 10 * time.Minute}
	n.Begin(map[string]string{"c": "by number"}, false, noon.Add(-time.Hour))
	return n, s
}

func at(v int64) Order { return Order{Whole: v} }

// about is a message of a topic of partner 3, first taken on a minute before noon.
func about(subject string, o Order) *Record {
	r := record(life("a", DeadlineExceeded))
	r.Subject, r.Order, r.Destination = subject, &o, 3
	return r
}

// fill has an index of four subjects evict all that it knew.
func fill(n *Newest) {
	for i := range 4 {
		n.Delivered(fmt.Sprint(i), Topic{"c", 9, fmt.Sprint("other ", i)}, at(0))
	}
}

func TestSuperseded(t *testing.T) {
	c := class(Idempotent)
	c.HasSubject = true
	s := Topic{"c", 3, "s"}
	for name, x := range map[string]struct {
		tell    func(n *Newest, shelf *memorySubjects)
		rec     *Record
		by      string
		allowed bool
	}{
		"nothing newer":                   {func(n *Newest, _ *memorySubjects) { n.Delivered("b", s, at(4)) }, about("s", at(5)), "", true},
		"a newer one was delivered":       {func(n *Newest, _ *memorySubjects) { n.Delivered("b", s, at(6)) }, about("s", at(5)), "b", false},
		"and an older one after it":       {func(n *Newest, _ *memorySubjects) { n.Delivered("b", s, at(6)); n.Delivered("d", s, at(2)) }, about("s", at(5)), "b", false},
		"a newer one waits":               {func(_ *Newest, p *memorySubjects) { p.wait[s] = []newestMessage{{ID: "b", Order: at(6)}} }, about("s", at(5)), "b", false},
		"an older one waits":              {func(_ *Newest, p *memorySubjects) { p.wait[s] = []newestMessage{{ID: "b", Order: at(4)}} }, about("s", at(5)), "", true},
		"it waits itself":                 {func(_ *Newest, p *memorySubjects) { p.wait[s] = []newestMessage{{ID: "a", Order: at(5)}} }, about("s", at(5)), "", true},
		"a newer one, of another partner": {func(n *Newest, _ *memorySubjects) { n.Delivered("b", Topic{"c", 4, "s"}, at(6)) }, about("s", at(5)), "", true},
		"a newer one, of another class":   {func(n *Newest, _ *memorySubjects) { n.Delivered("b", Topic{"d", 3, "s"}, at(6)) }, about("s", at(5)), "", true},
		"other relays may have delivered": {func(n *Newest, _ *memorySubjects) { n.exclusive = false }, about("s", at(5)), "", false},
		"they may, but a newer one is known": {
			func(n *Newest, _ *memorySubjects) { n.exclusive = false; n.Delivered("b", s, at(6)) },
			about("s", at(5)), "b", false,
		},
		"no subject in the message":  {func(*Newest, *memorySubjects) {}, record(life("a", DeadlineExceeded)), "", false},
		"its class is not read":      {func(_ *Newest, p *memorySubjects) { p.eras["c"] = nil }, about("s", at(5)), "", false},
		"a newer one was forgotten":  {func(n *Newest, _ *memorySubjects) { n.Delivered("b", s, at(6)); fill(n) }, about("s", at(5)), "", false},
		"newer than all forgotten":   {func(n *Newest, _ *memorySubjects) { n.Delivered("b", s, at(6)); fill(n) }, about("s", at(7)), "", true},
		"equal orders go by arrival": {func(n *Newest, _ *memorySubjects) { n.Delivered("b", s, Order{Whole: 5, Arrival: 7}) }, about("s", Order{Whole: 5, Arrival: 6}), "b", false},
		"one unread went after it":   {func(n *Newest, _ *memorySubjects) { n.Delivered("b", Topic{"c", 3, ""}, Order{Arrival: 9}) }, about("s", at(5)), "", false},
		"one unread went before it": {func(n *Newest, _ *memorySubjects) {
			n.Delivered("b", Topic{"c", 3, ""}, Order{Arrival: 9})
		}, about("s", Order{Whole: 5, Arrival: 10}), "", true},
		"one unread, another partner": {func(n *Newest, _ *memorySubjects) { n.Delivered("b", Topic{"c", 4, ""}, Order{Arrival: 9}) }, about("s", at(5)), "", true},
		"forgotten, and an older one came": {func(n *Newest, _ *memorySubjects) {
			n.Delivered("b", s, at(6))
			fill(n)
			n.Delivered("d", s, at(2))
		}, about("s", at(5)), "", false},
		"forgotten, and two older ones came": {func(n *Newest, _ *memorySubjects) {
			n.Delivered("b", s, at(6))
			fill(n)
			n.Delivered("d", s, at(2))
			n.Delivered("e", s, at(3))
		}, about("s", at(5)), "", false},
		"something may have been missed": {func(n *Newest, _ *memorySubjects) {
			n.Begin(map[string]string{"c": "by number"}, true, noon.Add(-5*time.Minute))
		}, about("s", at(5)), "", false},
		"read otherwise than before": {func(n *Newest, _ *memorySubjects) {
			n.Delivered("b", s, at(6))
			n.Begin(map[string]string{"c": "by time"}, false, noon.Add(-30*time.Minute))
		}, about("s", at(5)), "", true},
		"read otherwise of late": {func(n *Newest, _ *memorySubjects) {
			n.Begin(map[string]string{"c": "by time"}, false, noon.Add(-5*time.Minute))
		}, about("s", at(5)), "", false},
		"read as before, restarted": {func(n *Newest, _ *memorySubjects) {
			n.Begin(map[string]string{"c": "by number"}, false, noon.Add(-2*time.Minute))
		}, about("s", at(5)), "", true},
		"waits, read otherwise": {func(_ *Newest, p *memorySubjects) { p.wait[s] = []newestMessage{{ID: "b", Order: at(6), Version: 7}} }, about("s", at(5)), "", true},
	} {
		n, shelf := known(4)
		x.tell(n, shelf)
		if v := Allowed(c, x.rec, n.NewerThan, noon); v.Superseded != x.by || v.Allowed != x.allowed || v.Reason == "" {
			t.Errorf("%s: %+v", name, v)
		}
	}
}

// Whatever is delivered in whatever order, and whatever is forgotten: no message is let through that a newer one of its
// topic was delivered before. The shelf of the store tells the same as one in memory.
func TestNoNewerOneIsOverwritten(t *testing.T) {
	c := class(Idempotent)
	c.HasSubject = true
	through := 0
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 5).Draw(t, "most")
		n, _ := known(most)
		s, err := Open(tempDir(t), 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		if err := s.TrackSubjects(parcels(func(s *Section) { s.MaxSubjects = most }), false, noon.Add(-time.Hour)); err != nil {
			t.Fatal(err)
		}
		best := map[Topic]Order{}
		for i := range rapid.IntRange(0, 25).Draw(t, "delivered") {
			topic := Topic{"c", rapid.IntRange(1, 2).Draw(t, "partner"), fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "subject"))}
			o := at(int64(rapid.IntRange(0, 30).Draw(t, "order")))
			n.Delivered(fmt.Sprint(i), topic, o)
			if err := s.RecordDelivered([]Delivery{{fmt.Sprint(i), topic, o}}); err != nil {
				t.Fatal(err)
			}
			if was, ok := best[topic]; !ok || o.compare(was) > 0 {
				best[topic] = o
			}
		}
		r := about(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "of")), at(int64(rapid.IntRange(0, 30).Draw(t, "at"))))
		r.Destination = rapid.IntRange(1, 2).Draw(t, "to")
		v := Allowed(c, r, n.NewerThan, noon)
		if w := Allowed(c, r, s.Newer, noon); w != v {
			t.Fatalf("in the store %+v, in memory %+v", w, v)
		}
		if newest, ok := best[r.topic()]; ok && v.Allowed && newest.compare(*r.Order) > 0 {
			t.Fatalf("%+v is let through, and %+v was delivered", r.Order, newest)
		}
		if v.Allowed {
			through++
		}
	})
	if through == 0 {
		t.Error("nothing was ever let through")
	}
}

func TestUnderway(t *testing.T) {
	var u InFlightMessages
	s := Topic{"c", 3, "s"}
	after := func(o Order, want string, known bool) {
		t.Helper()
		if got, ok := u.NewestAfter(s, o); got != want || ok != known {
			t.Errorf("after %v: %q, %v", o.Whole, got, ok)
		}
	}
	after(at(1), "", true)
	u.Add("b", s, at(4))
	u.Add("d", s, at(6))
	u.Add("e", Topic{"c", 4, "s"}, at(9))
	after(at(5), "d", true)
	after(at(6), "", true)
	if got := u.OlderThan(s, at(5)); len(got) != 1 || got[0] != "b" {
		t.Errorf("before 5: %v", got)
	}
	u.Add("x", Topic{"c", 3, ""}, Order{})
	after(at(6), "", false)
	after(at(3), "d", true)
	u.Remove("d", s)
	u.Remove("x", Topic{"c", 3, ""})
	after(at(5), "", true)
	u.Remove("b", s)
	u.Remove("e", Topic{"c", 4, "s"})
	if len(u.orders) != 0 {
		t.Errorf("left: %v", u.orders)
	}
}
