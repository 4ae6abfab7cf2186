package notification

import (
	"slices"
	"sync"
)

// queue holds the notices that wait for a post. The journal bounds their number.
type queue struct {
	mu      sync.Mutex // guards all below
	changed sync.Cond  // a notice was added, or the queue closed
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

// nextBatch waits for notices and takes the first ones, up to a number. It returns none once the
// queue is closed.
func (q *queue) nextBatch(most int) []Notice {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.pending) == 0 && !q.closed {
		q.changed.Wait()
	}
	if q.closed {
		return nil
	}
	batch := slices.Clone(q.pending[:min(len(q.pending), most)])
	q.pending = slices.Delete(q.pending, 0, len(batch))
	return batch
}

// close ends all waits.
func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.changed.Broadcast()
}
