package policy

import (
	"time"
)

const (
	behindAll = 1 << 40
)

// message is a message taken and not yet retired.
type message struct {
	Arrived
	class    *Class
	seq      int
	expires  time.Duration
	q        *queue // where it is held; nil while it is not
	attempts []attempt
	open     int // attempts without an outcome
	over     bool
	telling  bool          // its end is still to be known where it is owed
	rest     time.Duration // until when its key rests after it
}

type attempt struct {
	call  *call
	sent  time.Duration
	open  bool
	unrun bool // proved never to have run
}

// take notes a new message, or gives nil where it makes no sense.
func (d *Dispatcher) take(e Arrived) *message {
	if e.Class < 0 || e.Class >= len(d.s.Classes) || d.messages[e.ID] != nil {
		return nil
	}
	d.seq++
	m := &message{
		Arrived: e, class: &d.s.Classes[e.Class], seq: d.seq,
		expires: d.now + e.TimeLeft,
	}
	if e.Terms != nil {
		m.class = e.Terms.stricter(m.class)
	}
	if e.Background {
		m.seq += behindAll
	}
	d.messages[e.ID] = m
	d.live = append(d.live, m)
	if m.class.Ordered && m.OrderKey != "" {
		d.keys[m.OrderKey] = append(d.keys[m.OrderKey], m)
	}
	if e.Recovered {
		d.resume(m)
		return nil
	}
	return m
}

// release takes a message out of its queue.
func (m *message) release() {
	if m.q != nil {
		m.q.held = remove(m.q.held, m)
		m.q = nil
	}
}

// firstRun is the first attempt that may have run, or nil.
func (m *message) firstRun() *attempt {
	for i := range m.attempts {
		if !m.attempts[i].unrun {
			return &m.attempts[i]
		}
	}
	return nil
}
