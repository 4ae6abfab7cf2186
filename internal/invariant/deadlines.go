package invariant

import (
	"container/heap"

	"mallowlead/internal/clock"
)

// deadline is when the terminal outcome of a message is due.
type deadline struct {
	id string
	at clock.Instant
}

// deadlineQueue is a heap, the earliest deadline first.
type deadlineQueue []deadline

func (q deadlineQueue) Len() int           { return len(q) }
func (q deadlineQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q deadlineQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push and Pop are heap.Interface's: push and pop are to be used.
func (q *deadlineQueue) Push(x any) { *q = append(*q, x.(deadline)) }

// Pop takes the last element.
func (q *deadlineQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (q *deadlineQueue) push(d deadline) { heap.Push(q, d) }
func (q *deadlineQueue) pop() deadline   { return heap.Pop(q).(deadline) }
