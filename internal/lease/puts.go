package lease

import (
	"frostlink/internal/coord"
)

// queuedPut is a value to be written.
type queuedPut struct {
	id      uint64
	command coord.Command
}

// PutResult is what became of a Put.
type PutResult struct {
	ID     uint64
	Result coord.Result
	Lost   bool // the session ended before an answer: the value may be written or not
}

// Put queues a value to be written under a lease, if the lease is still held under that token then and the value's version is
// the one expected. TakePutResults tells what became of it.
func (c *Core) Put(lease string, token uint64, key string, value []byte, expect uint64) (id uint64) {
	c.nextPut++
	p := queuedPut{c.nextPut, coord.Command{Op: coord.OpPut, Lease: lease, Token: token, Key: key, Value: value, ExpectedRevision: expect}}
	if c.session == 0 {
		c.putResults = append(c.putResults, PutResult{ID: p.id, Result: coord.Result{Code: coord.CodeNotHeld}})
		return p.id
	}
	c.puts = append(c.puts, p)
	return p.id
}

// TakePutResults returns the results of Puts, each once.
func (c *Core) TakePutResults() []PutResult {
	results := c.putResults
	c.putResults = nil
	return results
}
