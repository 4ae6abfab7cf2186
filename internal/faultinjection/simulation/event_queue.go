package simulation

import (
	"container/heap"
	"time"
)

// never is the time of what is not due.
const never = time.Duration(1<<63 - 1)

// scheduledCall is a call that is due at a time.
type scheduledCall struct {
	at       time.Duration
	sequence int // in which it was scheduled
	run      func()
}

// eventQueue is a heap of calls, the earliest first, and those of one time in the order in which they were scheduled.
type eventQueue []scheduledCall

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledCall)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// virtualClock runs calls at their times.
type virtualClock struct {
	now      time.Duration
	sequence int
	queue    eventQueue
}

// at has a call run at a time, or now if that has passed.
func (c *virtualClock) at(at time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, scheduledCall{max(at, c.now), c.sequence, run})
}

// after has a call run after a delay.
func (c *virtualClock) after(delay time.Duration, run func()) { c.at(c.now+delay, run) }

// runUntil runs all calls that are due up to a time.
func (c *virtualClock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(scheduledCall)
		c.now = next.at
		next.run()
	}
}
