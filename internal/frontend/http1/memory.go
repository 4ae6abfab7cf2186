package http1

import "sync"

// memoryBudget is an amount of memory, in bytes, that requests share.
type memoryBudget struct {
	mu   sync.Mutex
	left int // guarded by mu
}

// reserve takes n bytes and reports true, if so many are left.
func (b *memoryBudget) reserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

// release gives n reserved bytes back.
func (b *memoryBudget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
}
