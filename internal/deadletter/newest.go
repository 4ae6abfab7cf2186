package deadletter

import "time"

// newestMessage is the newest message of a topic that was delivered or may have been delivered.
type newestMessage struct {
	ID    string `json:"id"`
	Order Order  `json:"order"`
	// NeverEvicted is set if no earlier entry of the topic can have been evicted. If it is not set, a newer message of the
	// topic than this one may have been evicted.
	NeverEvicted bool `json:"sure,omitempty"`
	// Version is the version of the subject definition under which Order was read. Orders of different versions can't be
	// compared.
	Version int `json:"version,omitempty"`
}

// trackingEpoch is a period in which the deliveries of a class were recorded without a gap, and its subjects were read by
// one definition. Its fields apply to all topics of the class.
type trackingEpoch struct {
	Since         time.Time     `json:"since"`             // every delivery since then is recorded
	Definition    string        `json:"reading"`           // how subjects are read; empty: they are no longer read
	Version       int           `json:"version,omitempty"` // number of changes of the definition so far
	NewestEvicted *Order        `json:"horizon,omitempty"` // order of the newest message evicted in this epoch, of any topic
	Unreadable    map[int]int64 `json:"unread,omitempty"`  // by destination: arrival of the last delivered message whose subject can't be read
}

// active reports whether the class's subjects are currently read.
func (e *trackingEpoch) active() bool { return e != nil && e.Definition != "" }

// subjectStorage stores the state of Newest. An implementation treats an entry that it can't read as absent, and reports the
// error to the code that created the storage.
type subjectStorage interface {
	epoch(class string) *trackingEpoch // nil: the class was never tracked
	setEpoch(class string, e *trackingEpoch)
	newest(t Topic) *newestMessage // nil: no entry
	put(t Topic, m newestMessage)
	// evictOldest removes the entry that was put longest ago, and returns it with its class; m is nil if there is no entry.
	evictOldest() (class string, m *newestMessage)
	size() int
	// waiting returns the newest message of a topic that waits in the store and whose order was read under a version of the
	// definition, or nil.
	waiting(t Topic, version int) *newestMessage
}

// Newest tracks the newest delivered message of each topic, for a bounded number of topics. It also tracks what was evicted,
// so that it can report when it can't tell whether a newer message was delivered.
type Newest struct {
	storage     subjectStorage
	maxSubjects int // 0: unlimited, for a command on the store of a stopped relay
	// settlingTime is the longest time by which clients submit messages of one topic out of order. If a message was accepted
	// less than settlingTime after the start of the epoch, a newer message may have been delivered before the epoch, without
	// being tracked. The tracked messages then do not prove that there is no newer message.
	settlingTime time.Duration
	// exclusive is set if no other relay can have delivered a message of a topic that this relay receives.
	exclusive bool
}

// Begin starts tracking classes, given the definition of how the subjects of each are read. A class whose definition has
// changed begins a new epoch. If deliveries may have been missed, every class begins a new epoch.
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

// Delivered records a message that was delivered, or that may have been delivered and is no longer in the store.
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

// deliveredUnreadable records a delivered message whose subject could not be read. It may belong to any subject of its class
// and destination.
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

// evict removes the topics that were stored longest ago until the limit is met, and records the newest order among the
// removed messages.
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

// NewerThan returns the id of a newer message of the same topic, or "" if it finds none. known is false if it finds none but
// there may be one.
func (n *Newest) NewerThan(r *Record) (id string, known bool) {
	if r.Subject == "" || r.Order == nil {
		return "", false // its topic or its order is unknown
	}
	e, t := n.storage.epoch(r.Class), r.topic()
	if !e.active() {
		return "", false
	}
	newest := newestMessage{Order: *r.Order}
	// If the message is newer than every evicted message, no evicted message is newer than it.
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
