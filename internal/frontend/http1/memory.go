package http1

import "sync"

// memoryBudget limits the memory, in bytes, that the bodies of all requests use together.
type memoryBudget struct {
	mu   sync.Mutex
	left int // guarded by mu
}

// reserve takes n bytes from the budget if at least n are left, and reports whether it did.
func (b *memoryBudget) reserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

// release returns n reserved bytes to the budget.
func (b *memoryBudget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
}
