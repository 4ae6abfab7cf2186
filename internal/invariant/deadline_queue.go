package invariant

import "frostlink/internal/clock"

// deadline is the time at which the terminal outcome of a request is due.
type deadline struct {
	requestID string
	at        clock.Instant
}

// deadlineQueue is a binary heap with the earliest deadline first. It does not use container/heap, which
// would allocate memory for an interface value for each request.
type deadlineQueue []deadline

// push adds a deadline.
func (q *deadlineQueue) push(d deadline) {
	heap := append(*q, d)
	for i := len(heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if heap[parent].at <= heap[i].at {
			break
		}
		heap[parent], heap[i] = heap[i], heap[parent]
		i = parent
	}
	*q = heap
}

// pop removes and returns the earliest deadline. The queue must not be empty.
func (q *deadlineQueue) pop() deadline {
	heap := *q
	first, last := heap[0], len(heap)-1
	heap[0], heap[last] = heap[last], deadline{}
	*q = heap[:last]
	q.siftDown()
	return first
}

// siftDown moves the first deadline down until the heap is ordered again.
func (q deadlineQueue) siftDown() {
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q); child++ {
			if q[child].at < q[least].at {
				least = child
			}
		}
		if least == i {
			return
		}
		q[i], q[least] = q[least], q[i]
		i = least
	}
}
