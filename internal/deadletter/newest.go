package deadletter

import (
	"time"
)

// newestMessage is the newest message of a topic that was delivered, or may have been.
type newestMessage struct {
	ID    string `json:"id"`
	Order Order  `json:"order"`
	// NeverEvicted says that the topic was never forgotten: of one that comes back after others were, a newer message may have
	// been forgotten too.
	NeverEvicted bool `json:"sure,omitempty"`
	// Version is that of the era's reading: orders of two readings can't be compared.
	Version int `json:"version,omitempty"`
}

// trackingEpoch is what is known of a class's topics as a whole.
type trackingEpoch struct {
	Since         time.Time     `json:"since"`             // from when on all that was delivered is known
	Definition    string        `json:"reading"`           // how its subjects are read
	Version       int           `json:"version,omitempty"` // how often that has changed
	NewestEvicted *Order        `json:"horizon,omitempty"` // the newest that was forgotten since, of whatever topic
	Unreadable    map[int]int64 `json:"unread,omitempty"`  // by destination: arrival of the last one delivered whose subject can't be read
}

// active tells whether the class's subjects are read at present.
func (e *trackingEpoch) active() bool { return e != nil && e.Definition != "" }

// subjectStorage is where Newest keeps what it knows. What an implementation can't read is not there, and must make era fail.
type subjectStorage interface {
	epoch(class string) *trackingEpoch // nil: nothing is known of the class
	setEpoch(class string, e *trackingEpoch)
	newest(t Topic) *newestMessage // nil: none is known
	put(t Topic, l newestMessage)  // at the young end
	// evictOldest takes out what was put longest ago, and gives its class; nil where there is nothing.
	evictOldest() (class string, l *newestMessage)
	size() int
	// waiting gives the newest message of a topic that waits in the store, as it is read since a version, or nil.
	waiting(t Topic, version int) *newestMessage
}

// Newest knows the newest message of each topic that was delivered: of so many topics. What it forgets it can't tell
// any more.
type Newest struct {
	storage     subjectStorage
	maxSubjects int // 0: any number, for a tool that ends a message of a stopped relay's
	// settlingTime after a class's subjects were first read, what is known of them begins to be relied on: until then a
	// message may have a newer one that was delivered before. No client hands messages of one topic in so far out of
	// their order.
	settlingTime time.Duration
	// exclusive says that no other relay can have delivered a message of a topic.
	exclusive bool
}

// Begin has the classes whose subjects are read known from now on, each read as the text says. One that was read
// otherwise before, or that may have missed something (anew), begins anew.
func (n *Newest) Begin(reading map[string]string, anew bool, now time.Time) {
	for class, how := range reading {
		e := n.storage.epoch(class)
		if e != nil && e.Definition == how && !anew {
			continue
		}
		next := &trackingEpoch{Since: now, Definition: how}
		if e != nil {
			if next.Version = e.Version; e.Definition != how {
				next.Version++
			}
		}
		n.storage.setEpoch(class, next)
	}
}

// Delivered notes a message that was delivered, or may have been and is in the store no longer.
func (n *Newest) Delivered(id string, t Topic, o Order) {
	e := n.storage.epoch(t.Class)
	if !e.active() {
		return
	}
	if t.Subject == "" {
		n.deliveredUnreadable(e, t, o)
		return
	}
	newest := newestMessage{ID: id, Order: o, NeverEvicted: e.NewestEvicted == nil, Version: e.Version}
	if stored := n.storage.newest(t); stored != nil && stored.Version == e.Version {
		newest.NeverEvicted = stored.NeverEvicted
		if o.compare(stored.Order) <= 0 {
			newest = *stored
		}
	}
	n.storage.put(t, newest)
	n.evict()
}

// deliveredUnreadable notes a delivered message whose subject could not be read: it may be of any subject of its class and
// destination.
func (n *Newest) deliveredUnreadable(e *trackingEpoch, t Topic, o Order) {
	if o.Arrival <= e.Unreadable[t.Destination] {
		return
	}
	if e.Unreadable == nil {
		e.Unreadable = map[int]int64{}
	}
	e.Unreadable[t.Destination] = o.Arrival
	n.storage.setEpoch(t.Class, e)
}

// evict drops the subjects that were stored longest ago while there are too many, and notes the newest message among them.
func (n *Newest) evict() {
	for n.maxSubjects > 0 && n.storage.size() > n.maxSubjects {
		class, evicted := n.storage.evictOldest()
		if evicted == nil {
			return
		}
		e := n.storage.epoch(class)
		if e == nil || evicted.Version != e.Version {
			continue
		}
		if e.NewestEvicted == nil || evicted.Order.compare(*e.NewestEvicted) > 0 {
			e.NewestEvicted = &evicted.Order
			n.storage.setEpoch(class, e)
		}
	}
}

// NewerThan gives the id of a newer message of the same topic, or "". known says whether an empty answer can be relied on.
func (n *Newest) NewerThan(r *Record) (id string, known bool) {
	if r.Subject == "" || r.Order == nil {
		return "", false // nobody can say what it would overwrite
	}
	e, t := n.storage.epoch(r.Class), r.topic()
	if !e.active() {
		return "", false
	}
	best := newestMessage{Order: *r.Order}
	// What was forgotten can't be newer than a message that is newer than all that was forgotten.
	known = e.NewestEvicted == nil || r.Order.compare(*e.NewestEvicted) > 0
	if l := n.storage.newest(t); l != nil && l.Version == e.Version {
		known = known || l.NeverEvicted
		if l.Order.compare(best.Order) > 0 {
			best = *l
		}
	}
	if l := n.storage.waiting(t, e.Version); l != nil && l.Order.compare(best.Order) > 0 {
		best = *l
	}
	known = known && n.exclusive && !r.Incarnations[0].AcceptedAt.Before(e.Since.Add(n.settlingTime)) && r.Order.Arrival >= e.Unreadable[t.Destination]
	return best.ID, known || best.ID != ""
}
