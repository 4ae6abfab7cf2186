package invariant

import "frostlink/internal/clock"

// deadline is when the terminal outcome of a message is due.
type deadline struct {
	id string
	at clock.Instant
}

// deadlineQueue is a binary heap, the earliest deadline first. It is no container/heap: that would put each deadline into an interface,
// an allocation for each message.
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

// pop takes the earliest deadline; there has to be one.
func (q *deadlineQueue) pop() deadline {
	heap := *q
	first, last := heap[0], len(heap)-1
	heap[0], heap[last] = heap[last], deadline{}
	heap = heap[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(heap); child++ {
			if heap[child].at < heap[least].at {
				least = child
			}
		}
		if least == i {
			break
		}
		heap[i], heap[least] = heap[least], heap[i]
		i = least
	}
	*q = heap
	return first
}
