package deadletter

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newTestNewest returns a Newest that has tracked class c since an hour before noon, and the storage that it uses.
func newTestNewest(maxSubjects int) (*Newest, *memorySubjects) {
	storage := newMemorySubjects()
	n := &Newest{storage: storage, maxSubjects: maxSubjects, exclusive: true, settlingTime: 10 * time.Minute}
	n.Begin(map[string]string{"c": "by number"}, false, noon.Add(-time.Hour))
	return n, storage
}

// orderOf returns the order of a message that is ordered by a whole number.
func orderOf(number int64) Order { return Order{Whole: number} }

// recordAbout returns the record of a message of a subject to destination 3, accepted a minute before noon.
func recordAbout(subject string, order Order) *Record {
	r := newRecord(newIncarnation("a", DeadlineExceeded))
	r.Subject, r.Order, r.Destination = subject, &order, 3
	return r
}

// evictAll makes a Newest with a limit of four subjects evict all its entries.
func evictAll(n *Newest) {
	for i := range 4 {
		n.Delivered(fmt.Sprint(i), Topic{"c", 9, fmt.Sprint("other ", i)}, orderOf(0))
	}
}

func TestAllowed_DeniesSupersededMessages(t *testing.T) {
	class := testClass(Idempotent)
	class.HasSubject = true
	topic := Topic{"c", 3, "s"}
	for name, c := range map[string]struct {
		prepare    func(n *Newest, storage *memorySubjects)
		record     *Record
		superseded string
		allowed    bool
	}{
		"only an older one was delivered": {func(n *Newest, _ *memorySubjects) { n.Delivered("b", topic, orderOf(4)) }, recordAbout("s", orderOf(5)), "", true},
		"a newer one was delivered":       {func(n *Newest, _ *memorySubjects) { n.Delivered("b", topic, orderOf(6)) }, recordAbout("s", orderOf(5)), "b", false},
		"a newer one was delivered, then an older one": {func(n *Newest, _ *memorySubjects) {
			n.Delivered("b", topic, orderOf(6))
			n.Delivered("d", topic, orderOf(2))
		}, recordAbout("s", orderOf(5)), "b", false},
		"a newer one waits": {func(_ *Newest, storage *memorySubjects) {
			storage.waitingMessages[topic] = []newestMessage{{ID: "b", Order: orderOf(6)}}
		}, recordAbout("s", orderOf(5)), "b", false},
		"an older one waits": {func(_ *Newest, storage *memorySubjects) {
			storage.waitingMessages[topic] = []newestMessage{{ID: "b", Order: orderOf(4)}}
		}, recordAbout("s", orderOf(5)), "", true},
		"only the message itself waits": {func(_ *Newest, storage *memorySubjects) {
			storage.waitingMessages[topic] = []newestMessage{{ID: "a", Order: orderOf(5)}}
		}, recordAbout("s", orderOf(5)), "", true},
		"a newer one to another destination": {func(n *Newest, _ *memorySubjects) { n.Delivered("b", Topic{"c", 4, "s"}, orderOf(6)) }, recordAbout("s", orderOf(5)), "", true},
		"a newer one of another class":       {func(n *Newest, _ *memorySubjects) { n.Delivered("b", Topic{"d", 3, "s"}, orderOf(6)) }, recordAbout("s", orderOf(5)), "", true},
		"other relays may have delivered":    {func(n *Newest, _ *memorySubjects) { n.exclusive = false }, recordAbout("s", orderOf(5)), "", false},
		"other relays may have delivered, a newer one is known": {
			func(n *Newest, _ *memorySubjects) { n.exclusive = false; n.Delivered("b", topic, orderOf(6)) },
			recordAbout("s", orderOf(5)), "b", false,
		},
		"no subject":                               {func(*Newest, *memorySubjects) {}, newRecord(newIncarnation("a", DeadlineExceeded)), "", false},
		"its class is not tracked":                 {func(_ *Newest, storage *memorySubjects) { storage.epochs["c"] = nil }, recordAbout("s", orderOf(5)), "", false},
		"a newer one was evicted":                  {func(n *Newest, _ *memorySubjects) { n.Delivered("b", topic, orderOf(6)); evictAll(n) }, recordAbout("s", orderOf(5)), "", false},
		"newer than every evicted one":             {func(n *Newest, _ *memorySubjects) { n.Delivered("b", topic, orderOf(6)); evictAll(n) }, recordAbout("s", orderOf(7)), "", true},
		"equal numbers, a later arrival":           {func(n *Newest, _ *memorySubjects) { n.Delivered("b", topic, Order{Whole: 5, Arrival: 7}) }, recordAbout("s", Order{Whole: 5, Arrival: 6}), "b", false},
		"an unreadable one was delivered after it": {func(n *Newest, _ *memorySubjects) { n.Delivered("b", Topic{"c", 3, ""}, Order{Arrival: 9}) }, recordAbout("s", orderOf(5)), "", false},
		"an unreadable one was delivered before it": {func(n *Newest, _ *memorySubjects) {
			n.Delivered("b", Topic{"c", 3, ""}, Order{Arrival: 9})
		}, recordAbout("s", Order{Whole: 5, Arrival: 10}), "", true},
		"an unreadable one to another destination": {func(n *Newest, _ *memorySubjects) { n.Delivered("b", Topic{"c", 4, ""}, Order{Arrival: 9}) }, recordAbout("s", orderOf(5)), "", true},
		"a newer one was evicted, then an older one delivered": {func(n *Newest, _ *memorySubjects) {
			n.Delivered("b", topic, orderOf(6))
			evictAll(n)
			n.Delivered("d", topic, orderOf(2))
		}, recordAbout("s", orderOf(5)), "", false},
		"a newer one was evicted, then two older ones delivered": {func(n *Newest, _ *memorySubjects) {
			n.Delivered("b", topic, orderOf(6))
			evictAll(n)
			n.Delivered("d", topic, orderOf(2))
			n.Delivered("e", topic, orderOf(3))
		}, recordAbout("s", orderOf(5)), "", false},
		"deliveries may have been missed": {func(n *Newest, _ *memorySubjects) {
			n.Begin(map[string]string{"c": "by number"}, true, noon.Add(-5*time.Minute))
		}, recordAbout("s", orderOf(5)), "", false},
		"the definition changed": {func(n *Newest, _ *memorySubjects) {
			n.Delivered("b", topic, orderOf(6))
			n.Begin(map[string]string{"c": "by time"}, false, noon.Add(-30*time.Minute))
		}, recordAbout("s", orderOf(5)), "", true},
		"the definition changed within the settling time": {func(n *Newest, _ *memorySubjects) {
			n.Begin(map[string]string{"c": "by time"}, false, noon.Add(-5*time.Minute))
		}, recordAbout("s", orderOf(5)), "", false},
		"the same definition, restarted": {func(n *Newest, _ *memorySubjects) {
			n.Begin(map[string]string{"c": "by number"}, false, noon.Add(-2*time.Minute))
		}, recordAbout("s", orderOf(5)), "", true},
		"a newer one of another definition waits": {func(_ *Newest, storage *memorySubjects) {
			storage.waitingMessages[topic] = []newestMessage{{ID: "b", Order: orderOf(6), Version: 7}}
		}, recordAbout("s", orderOf(5)), "", true},
	} {
		t.Run(name, func(t *testing.T) {
			n, storage := newTestNewest(4)
			c.prepare(n, storage)
			permission := Allowed(class, c.record, n.NewerThan, noon)
			if permission.Superseded != c.superseded || permission.Allowed != c.allowed || permission.Reason == "" {
				t.Errorf("unexpected permission %+v", permission)
			}
		})
	}
}

// For random deliveries and evictions, no message is allowed once a newer one of its topic was delivered. The storage in
// bbolt leads to the same decision as the storage in memory.
func TestNewest_NeverAllowsOverwritingNewerMessage(t *testing.T) {
	class := testClass(Idempotent)
	class.HasSubject = true
	allowed := 0
	rapid.Check(t, func(t *rapid.T) {
		maxSubjects := rapid.IntRange(1, 5).Draw(t, "max subjects")
		n, _ := newTestNewest(maxSubjects)
		s, err := Open(tempDir(t), 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		if err := s.TrackSubjects(sectionWith(func(s *Section) { s.MaxSubjects = maxSubjects }), false, noon.Add(-time.Hour)); err != nil {
			t.Fatal(err)
		}
		newestOrders := map[Topic]Order{}
		for i := range rapid.IntRange(0, 25).Draw(t, "delivered") {
			topic := Topic{"c", rapid.IntRange(1, 2).Draw(t, "destination"), fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "subject"))}
			order := orderOf(int64(rapid.IntRange(0, 30).Draw(t, "order")))
			n.Delivered(fmt.Sprint(i), topic, order)
			if err := s.RecordDelivered([]Delivery{{fmt.Sprint(i), topic, order}}); err != nil {
				t.Fatal(err)
			}
			if newest, ok := newestOrders[topic]; !ok || order.compare(newest) > 0 {
				newestOrders[topic] = order
			}
		}
		r := recordAbout(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "record subject")), orderOf(int64(rapid.IntRange(0, 30).Draw(t, "record order"))))
		r.Destination = rapid.IntRange(1, 2).Draw(t, "record destination")
		permission := Allowed(class, r, n.NewerThan, noon)
		if stored := Allowed(class, r, s.Newer, noon); stored != permission {
			t.Fatalf("in the store %+v, in memory %+v", stored, permission)
		}
		if newest, ok := newestOrders[r.topic()]; ok && permission.Allowed && newest.compare(*r.Order) > 0 {
			t.Fatalf("order %+v is allowed although %+v was delivered", r.Order, newest)
		}
		if permission.Allowed {
			allowed++
		}
	})
	if allowed == 0 {
		t.Error("no draw allowed a message")
	}
}
