package policy

import (
	"time"
)

const (
	backgroundSeqOffset = 1 << 40
)

// message is a message taken and not yet retired.
type message struct {
	Arrived
	class         *Class
	seq           int
	deadline      time.Duration
	queue         *queue // where it is held; nil while it is not
	attempts      []attempt
	open          int // attempts without an outcome
	over          bool
	telling       bool          // its end is still to be known where it is owed
	cooldownUntil time.Duration // until when its key rests after it
}

type attempt struct {
	call  *call
	sent  time.Duration
	open  bool
	unrun bool // proved never to have run
}

// accept notes a new message, or gives nil where it makes no sense.
func (d *Dispatcher) accept(e Arrived) *message {
	if e.Class < 0 || e.Class >= len(d.settings.Classes) || d.messages[e.ID] != nil {
		return nil
	}
	d.lastSeq++
	m := &message{
		Arrived: e, class: &d.settings.Classes[e.Class], seq: d.lastSeq,
		deadline: d.now + e.TimeLeft,
	}
	if e.Terms != nil {
		m.class = e.Terms.stricter(m.class)
	}
	if e.Background {
		m.seq += backgroundSeqOffset
	}
	d.messages[e.ID] = m
	d.unfinished = append(d.unfinished, m)
	if m.class.Ordered && m.OrderKey != "" {
		d.orderKeys[m.OrderKey] = append(d.orderKeys[m.OrderKey], m)
	}
	if e.Recovered {
		d.recoverMessage(m)
		return nil
	}
	return m
}

// dequeue takes a message out of its queue.
func (m *message) dequeue() {
	if m.queue != nil {
		m.queue.queued = remove(m.queue.queued, m)
		m.queue = nil
	}
}

// firstExecuted is the first attempt that may have run, or nil.
func (m *message) firstExecuted() *attempt {
	for i := range m.attempts {
		if !m.attempts[i].unrun {
			return &m.attempts[i]
		}
	}
	return nil
}
