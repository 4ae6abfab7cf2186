package deadletter

import "time"

// newestMessage is the newest message of a topic that was delivered, or may have been.
type newestMessage struct {
	ID    string `json:"id"`
	Order Order  `json:"order"`
	// NeverEvicted is set where the topic can't have been evicted before: of one that is stored after evictions, a newer message
	// may have been evicted.
	NeverEvicted bool `json:"sure,omitempty"`
	// Version is that of the epoch's definition: orders under two definitions can't be compared.
	Version int `json:"version,omitempty"`
}

// trackingEpoch is what holds for all topics of a class since its subjects have been read in one way without a gap.
type trackingEpoch struct {
	Since         time.Time     `json:"since"`             // every delivery from then on is known
	Definition    string        `json:"reading"`           // how its subjects are read
	Version       int           `json:"version,omitempty"` // how often the definition has changed
	NewestEvicted *Order        `json:"horizon,omitempty"` // the newest message that was evicted since, of any topic
	Unreadable    map[int]int64 `json:"unread,omitempty"`  // by destination: arrival of the last one delivered whose subject can't be read
}

// active reports whether the class's subjects are read at present.
func (e *trackingEpoch) active() bool { return e != nil && e.Definition != "" }

// subjectStorage is where Newest stores its state. An implementation returns what it can't read as absent, and reports the
// error to whoever uses it.
type subjectStorage interface {
	epoch(class string) *trackingEpoch // nil: nothing is known of the class
	setEpoch(class string, e *trackingEpoch)
	newest(t Topic) *newestMessage // nil: none is known
	put(t Topic, m newestMessage)
	// evictOldest removes the topic that was put longest ago, and returns its class; nil where there is none.
	evictOldest() (class string, m *newestMessage)
	size() int
	// waiting returns the newest message of a topic that waits in the store and was read under a version, or nil.
	waiting(t Topic, version int) *newestMessage
}

// Newest knows the newest delivered message of each topic, for a bounded number of topics. It reports what it can't know
// since it was evicted.
type Newest struct {
	storage     subjectStorage
	maxSubjects int // 0: unbounded, for a command on the store of a stopped relay
	// settlingTime after a class's subjects were first read, what is known of them begins to be relied on: before, a newer
	// message may have been delivered unread. Clients submit messages of one topic out of order by less than that.
	settlingTime time.Duration
	// exclusive is set where no other relay can have delivered a message of a topic.
	exclusive bool
}

// Begin starts tracking classes, by the definition of how their subjects are read. One whose definition has changed begins
// a new epoch, as do all of them where deliveries may have been missed.
func (n *Newest) Begin(definitions map[string]string, missed bool, now time.Time) {
	for class, definition := range definitions {
		e := n.storage.epoch(class)
		if e != nil && e.Definition == definition && !missed {
			continue
		}
		next := &trackingEpoch{Since: now, Definition: definition}
		if e != nil {
			if next.Version = e.Version; e.Definition != definition {
				next.Version++
			}
		}
		n.storage.setEpoch(class, next)
	}
}

// Delivered records a message that was delivered, or that may have been and is no longer in the store.
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

// deliveredUnreadable records a delivered message whose subject could not be read: it may be of any subject of its class and
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

// evict evicts the topics that were stored longest ago while there are too many, and records the newest message among them.
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

// NewerThan returns the id of a newer message of the same topic, or "". known reports whether "" proves that there is none.
func (n *Newest) NewerThan(r *Record) (id string, known bool) {
	if r.Subject == "" || r.Order == nil {
		return "", false // what it would overwrite is unknown
	}
	e, t := n.storage.epoch(r.Class), r.topic()
	if !e.active() {
		return "", false
	}
	newest := newestMessage{Order: *r.Order}
	// A message that is newer than every evicted one has no newer one among them.
	known = e.NewestEvicted == nil || r.Order.compare(*e.NewestEvicted) > 0
	if delivered := n.storage.newest(t); delivered != nil && delivered.Version == e.Version {
		known = known || delivered.NeverEvicted
		if delivered.Order.compare(newest.Order) > 0 {
			newest = *delivered
		}
	}
	if waiting := n.storage.waiting(t, e.Version); waiting != nil && waiting.Order.compare(newest.Order) > 0 {
		newest = *waiting
	}
	settled := !r.Incarnations[0].AcceptedAt.Before(e.Since.Add(n.settlingTime))
	known = known && n.exclusive && settled && r.Order.Arrival >= e.Unreadable[t.Destination]
	return newest.ID, known || newest.ID != ""
}
