package undelivered

import (
	"cmp"
	"container/list"
	"time"
)

// Order is a message's place among those of its subject: a number, a time as one, or its arrival.
type Order struct {
	Value float64   `json:"value"`
	Taken time.Time `json:"taken"` // where values are equal
}

// compare puts two orders in sequence.
func (o Order) compare(p Order) int {
	if c := cmp.Compare(o.Value, p.Value); c != 0 {
		return c
	}
	return o.Taken.Compare(p.Taken)
}

// subject names what messages are about: of one partner, since each keeps its own status.
type subject struct {
	partner int
	name    string
}

// latest is the newest message of a subject that was delivered or may yet be.
type latest struct {
	subject
	order Order
	id    string
	// sure says that the subject was never forgotten: of one that comes back after others were, a newer message may
	// have been forgotten too.
	sure bool
}

// Newest knows the newest message of each subject that was delivered, or was taken on and has not ended. It holds
// so many subjects; what it forgets it can't tell any more.
type Newest struct {
	most     int
	complete bool // it knows of all that was ever delivered, but for what was evicted
	by       map[subject]*list.Element
	order    list.List         // least lately told of first
	horizon  *Order            // the newest that was forgotten, of whatever subject
	open     map[string]latest // taken on and not ended, by id
}

// NewNewest holds so many subjects. complete says that no message of a subject can have been delivered without its
// being told: not by another relay, and not before a machine was lost.
func NewNewest(most int, complete bool) *Newest {
	return &Newest{most: most, complete: complete, by: map[subject]*list.Element{}, open: map[string]latest{}}
}

// Taken notes a message that was taken on.
func (n *Newest) Taken(id string, partner int, name string, o Order) {
	n.open[id] = latest{subject: subject{partner, name}, order: o, id: id}
}

// Ended notes that a message taken on has ended, delivered or not.
func (n *Newest) Ended(id string, delivered bool) {
	l, ok := n.open[id]
	delete(n.open, id)
	if ok && delivered {
		n.note(l)
	}
}

// Deliver notes a message that was delivered, as one told of by an earlier process.
func (n *Newest) Deliver(id string, partner int, name string, o Order) {
	n.note(latest{subject: subject{partner, name}, order: o, id: id})
}

func (n *Newest) note(l latest) {
	if e := n.by[l.subject]; e != nil {
		n.order.MoveToBack(e)
		if was := e.Value.(latest); l.order.compare(was.order) > 0 {
			l.sure = was.sure
			e.Value = l
		}
		return
	}
	l.sure = n.horizon == nil
	n.by[l.subject] = n.order.PushBack(l)
	for n.order.Len() > n.most {
		first := n.order.Front()
		gone := first.Value.(latest)
		if n.horizon == nil || gone.order.compare(*n.horizon) > 0 {
			n.horizon = &gone.order
		}
		delete(n.by, gone.subject)
		n.order.Remove(first)
	}
}

// After gives the id of a newer message of the same subject and partner, or "". known says whether an empty answer
// can be relied on.
func (n *Newest) After(r *Record) (id string, known bool) {
	if r.Subject == "" || r.Order == nil {
		return "", false // nobody can say what it would overwrite
	}
	at := subject{r.Partner, r.Subject}
	best := latest{order: *r.Order}
	// What was forgotten can't be newer than a message that is newer than all that was forgotten.
	known = n.complete && (n.horizon == nil || r.Order.compare(*n.horizon) > 0)
	if e := n.by[at]; e != nil {
		l := e.Value.(latest)
		if l.order.compare(best.order) > 0 {
			best = l
		}
		known = known || n.complete && l.sure
	}
	for _, l := range n.open {
		if l.subject == at && l.id != r.ID && l.order.compare(best.order) > 0 {
			best = l
		}
	}
	return best.id, known || best.id != ""
}
