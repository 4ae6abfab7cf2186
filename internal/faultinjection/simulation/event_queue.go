package simulation

import (
	"container/heap"
	"time"
)

// never is a time after the end of every run, used where nothing is scheduled.
const never = time.Duration(1<<63 - 1)

// scheduledCall is a function call that is scheduled for a time.
type scheduledCall struct {
	at       time.Duration
	sequence int // the order of scheduling
	run      func()
}

// eventQueue is a heap of calls: the earliest first, and calls with equal times in the order of their scheduling.
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

// virtualClock runs scheduled calls in virtual time.
type virtualClock struct {
	now      time.Duration
	sequence int
	queue    eventQueue
}

// at schedules a call for a time, or for now if that has passed.
func (c *virtualClock) at(at time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, scheduledCall{max(at, c.now), c.sequence, run})
}

// after schedules a call after a delay.
func (c *virtualClock) after(delay time.Duration, run func()) { c.at(c.now+delay, run) }

// runUntil runs all calls that are due up to a time, in order.
func (c *virtualClock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(scheduledCall)
		c.now = next.at
		next.run()
	}
}
