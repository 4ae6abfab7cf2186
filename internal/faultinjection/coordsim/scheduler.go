package coordsim

import (
	"container/heap"
	"time"
)

// event is an action that is scheduled for a true time.
type event struct {
	at          time.Duration
	sequence    uint64   // order of scheduling, for events with equal times
	owner       *process // the process that acts; nil: no process
	incarnation int      // of the owner; the event is dropped if the owner has a later one
	action      func()
}

// eventQueue is a heap of events that implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// scheduler runs events in virtual time.
type scheduler struct {
	now          time.Duration // true time
	lastSequence uint64
	queue        eventQueue
	onPanic      func(owner *process, reason any) // called when an event panics
}

// after schedules an action of a process after a delay. The action is dropped if the process crashes before; without an owner it
// always runs.
func (s *scheduler) after(d time.Duration, owner *process, action func()) {
	s.lastSequence++
	e := event{at: s.now + d, sequence: s.lastSequence, owner: owner, action: action}
	if owner != nil {
		e.incarnation = owner.incarnation
	}
	heap.Push(&s.queue, e)
}

// runUntil runs all events up to a time. Events of a busy process are deferred until it is no longer busy, and keep their order.
func (s *scheduler) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		switch {
		case e.owner == nil:
			s.run(e)
		case !e.owner.running || e.incarnation != e.owner.incarnation:
		case s.now < e.owner.busyUntil:
			e.at = e.owner.busyUntil
			heap.Push(&s.queue, e)
		default:
			s.run(e)
		}
	}
	s.now = end
}

// run runs an event, and passes a panic in it to onPanic.
func (s *scheduler) run(e event) {
	defer func() {
		if reason := recover(); reason != nil {
			s.onPanic(e.owner, reason)
		}
	}()
	e.action()
}
