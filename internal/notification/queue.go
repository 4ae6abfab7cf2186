package notification

import (
	"slices"
	"sync"
)

// queue contains the notices that wait to be posted. Their number is bounded by the journal, which has a
// size limit.
type queue struct {
	mu      sync.Mutex // guards the fields below
	changed sync.Cond  // signaled when a notice is added or the queue is closed
	pending []Notice
	closed  bool
}

func newQueue() *queue {
	q := &queue{}
	q.changed.L = &q.mu
	return q
}

// add appends a notice. It never blocks.
func (q *queue) add(notice Notice) {
	q.mu.Lock()
	q.pending = append(q.pending, notice)
	q.mu.Unlock()
	q.changed.Signal()
}

// nextBatch waits for notices, and removes and returns at most limit of them. It returns nil once the queue
// is closed.
func (q *queue) nextBatch(limit int) []Notice {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.pending) == 0 && !q.closed {
		q.changed.Wait()
	}
	if q.closed {
		return nil
	}
	batch := slices.Clone(q.pending[:min(len(q.pending), limit)])
	q.pending = slices.Delete(q.pending, 0, len(batch))
	return batch
}

// close closes the queue, and wakes all callers of nextBatch.
func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.changed.Broadcast()
}
