package deadletter

import "time"

// latest is the newest message of a topic that was delivered, or may have been.
type latest struct {
	ID    string `json:"id"`
	Order Order  `json:"order"`
	// Sure says that the topic was never forgotten: of one that comes back after others were, a newer message may have
	// been forgotten too.
	Sure bool `json:"sure,omitempty"`
	// Version is that of the era's reading: orders of two readings can't be compared.
	Version int `json:"version,omitempty"`
}

// era is what is known of a class's topics as a whole.
type era struct {
	Since   time.Time     `json:"since"`             // from when on all that was delivered is known
	Reading string        `json:"reading"`           // how its subjects are read
	Version int           `json:"version,omitempty"` // how often that has changed
	Horizon *Order        `json:"horizon,omitempty"` // the newest that was forgotten since, of whatever topic
	Unread  map[int]int64 `json:"unread,omitempty"`  // by partner: arrival of the last one delivered whose subject can't be read
}

// on tells whether the class's subjects are read at present.
func (e *era) on() bool { return e != nil && e.Reading != "" }

// shelf is where Newest keeps what it knows. What an implementation can't read is not there, and must make era fail.
type shelf interface {
	era(class string) *era // nil: nothing is known of the class
	setEra(class string, e *era)
	latest(t Topic) *latest // nil: none is known
	put(t Topic, l latest)  // at the young end
	// oldest takes out what was put longest ago, and gives its class; nil where there is nothing.
	oldest() (class string, l *latest)
	size() int
	// waiting gives the newest message of a topic that waits in the store, as it is read since a version, or nil.
	waiting(t Topic, version int) *latest
}

// Newest knows the newest message of each topic that was delivered: of so many topics. What it forgets it can't tell
// any more.
type Newest struct {
	on   shelf
	most int // 0: any number, for a tool that ends a message of a stopped relay's
	// settle after a class's subjects were first read, what can be told of them begins to be relied on: until then a
	// message may have a newer one that was delivered before. No client hands messages of one topic in so far out of
	// their order.
	settle time.Duration
	// alone says that no other relay can have delivered a message of a topic.
	alone bool
}

// Begin has the classes whose subjects are read known from now on, each read as the text says. One that was read
// otherwise before, or that may have missed something (anew), begins anew.
func (n *Newest) Begin(reading map[string]string, anew bool, now time.Time) {
	for class, how := range reading {
		e := n.on.era(class)
		if e != nil && e.Reading == how && !anew {
			continue
		}
		next := &era{Since: now, Reading: how}
		if e != nil {
			if next.Version = e.Version; e.Reading != how {
				next.Version++
			}
		}
		n.on.setEra(class, next)
	}
}

// Delivered notes a message that was delivered, or may have been and is in the store no longer.
func (n *Newest) Delivered(id string, t Topic, o Order) {
	e := n.on.era(t.Class)
	if !e.on() {
		return
	}
	if t.Subject == "" {
		if o.Arrival > e.Unread[t.Partner] {
			if e.Unread == nil {
				e.Unread = map[int]int64{}
			}
			e.Unread[t.Partner] = o.Arrival
			n.on.setEra(t.Class, e)
		}
		return
	}
	l := latest{ID: id, Order: o, Sure: e.Horizon == nil, Version: e.Version}
	if was := n.on.latest(t); was != nil && was.Version == e.Version {
		l.Sure = was.Sure
		if o.compare(was.Order) <= 0 {
			l = *was
		}
	}
	n.on.put(t, l)
	for n.most > 0 && n.on.size() > n.most {
		class, gone := n.on.oldest()
		if gone == nil {
			return
		}
		if e := n.on.era(class); e != nil && gone.Version == e.Version && (e.Horizon == nil || gone.Order.compare(*e.Horizon) > 0) {
			e.Horizon = &gone.Order
			n.on.setEra(class, e)
		}
	}
}

// After gives the id of a newer message of the same topic, or "". known says whether an empty answer can be relied on.
func (n *Newest) After(r *Record) (id string, known bool) {
	if r.Subject == "" || r.Order == nil {
		return "", false // nobody can say what it would overwrite
	}
	e, t := n.on.era(r.Class), r.topic()
	if !e.on() {
		return "", false
	}
	best := latest{Order: *r.Order}
	// What was forgotten can't be newer than a message that is newer than all that was forgotten.
	known = e.Horizon == nil || r.Order.compare(*e.Horizon) > 0
	if l := n.on.latest(t); l != nil && l.Version == e.Version {
		known = known || l.Sure
		if l.Order.compare(best.Order) > 0 {
			best = *l
		}
	}
	if l := n.on.waiting(t, e.Version); l != nil && l.Order.compare(best.Order) > 0 {
		best = *l
	}
	known = known && n.alone && !r.Lives[0].Taken.Before(e.Since.Add(n.settle)) && r.Order.Arrival >= e.Unread[t.Partner]
	return best.ID, known || best.ID != ""
}

// Underway knows the messages of each topic that were taken on and have not ended.
type Underway struct {
	by map[Topic]map[string]Order
}

// Taken notes a message that was taken on, and Ended that it has ended.
func (u *Underway) Taken(id string, t Topic, order Order) {
	if u.by == nil {
		u.by = map[Topic]map[string]Order{}
	}
	if u.by[t] == nil {
		u.by[t] = map[string]Order{}
	}
	u.by[t][id] = order
}

// Ended notes that a message has ended, and is known to Newest where it should be.
func (u *Underway) Ended(id string, t Topic) {
	if delete(u.by[t], id); len(u.by[t]) == 0 {
		delete(u.by, t)
	}
}

// After gives the newest message of a topic that is newer than a place in its order, or "". known is false where one is
// out whose subject can't be read: it may be of any topic of its class and partner.
func (u *Underway) After(t Topic, order Order) (newest string, known bool) {
	best := order
	for id, at := range u.by[t] {
		if at.compare(best) > 0 {
			newest, best = id, at
		}
	}
	return newest, newest != "" || len(u.by[Topic{Class: t.Class, Partner: t.Partner}]) == 0
}

// Before gives the messages of a topic that come before a place in its order.
func (u *Underway) Before(t Topic, order Order) (older []string) {
	for id, at := range u.by[t] {
		if at.compare(order) < 0 {
			older = append(older, id)
		}
	}
	return older
}
