package http1

import "sync"

// account limits how many bytes one owner of memory may hold, and remembers the peak. The zero limit admits nothing.
type account struct {
	mu    sync.Mutex // guards the fields below
	limit int
	used  int
	peak  int
}

// MemoryUse is the use of one owner's memory, in bytes.
type MemoryUse struct {
	Used  int `json:"used"`
	Peak  int `json:"peak"`
	Limit int `json:"limit"`
}

// reserve takes n bytes if they are left, and reports whether it did.
func (a *account) reserve(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.used+n > a.limit {
		return false
	}
	a.used += n
	a.peak = max(a.peak, a.used)
	return true
}

// release returns n reserved bytes.
func (a *account) release(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used -= n
}

func (a *account) use() MemoryUse {
	a.mu.Lock()
	defer a.mu.Unlock()
	return MemoryUse{Used: a.used, Peak: a.peak, Limit: a.limit}
}

// chunkSize is the size in bytes of the pieces of memory in which requests are read.
const chunkSize = 4 << 10

// overdraftFraction is the fraction of the limit of a chunkPool that is lent beyond it while connections that were closed to free
// their chunks have not returned them yet.
const overdraftFraction = 0.25

type chunk [chunkSize]byte

// chunkPool holds the memory in which requests are read. Chunks are used again, so that requests that are never read completely
// cause no garbage.
type chunkPool struct {
	mu    sync.Mutex // guards the fields below
	free  []*chunk
	limit int // number of chunks
	used  int
	peak  int
}

// take returns a chunk, or nil if all are in use. overdraft lends one beyond the limit.
func (p *chunkPool) take(overdraft bool) *chunk {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.limit
	if overdraft {
		limit += int(overdraftFraction * float64(limit))
	}
	if p.used >= limit {
		return nil
	}
	p.used++
	p.peak = max(p.peak, p.used)
	last := len(p.free) - 1
	if last < 0 {
		return new(chunk)
	}
	c := p.free[last]
	p.free = p.free[:last]
	return c
}

// put returns chunks.
func (p *chunkPool) put(chunks []*chunk) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= len(chunks)
	for _, c := range chunks {
		if p.used+len(p.free) < p.limit {
			p.free = append(p.free, c)
		}
	}
}

func (p *chunkPool) use() MemoryUse {
	p.mu.Lock()
	defer p.mu.Unlock()
	return MemoryUse{Used: p.used * chunkSize, Peak: p.peak * chunkSize, Limit: p.limit * chunkSize}
}
