package lease

import (
	"frostlink/internal/coord"
)

// queuedPut is a put that has no result yet.
type queuedPut struct {
	id      uint64
	command coord.Command
}

// PutResult is the result of a Put.
type PutResult struct {
	ID     uint64
	Result coord.Result
	Lost   bool // the session ended before the answer arrived: the value may or may not have been written
}

// Put queues a value to be written. The service writes it only if the lease is still held under the token then, and if the
// value's revision is the expected one. TakePutResults returns the result.
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

// TakePutResults returns the results of puts that it has not returned before.
func (c *Core) TakePutResults() []PutResult {
	results := c.putResults
	c.putResults = nil
	return results
}
