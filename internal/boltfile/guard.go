package boltfile

import (
	"fmt"
	"runtime/debug"
)

// Guard recovers from a panic and sets *err to an ErrDamaged that describes it. It must be called by defer.
func Guard(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("%w: %v", ErrDamaged, p)
	}
}

// panicOnFault makes this goroutine panic, instead of ending the process, when it accesses invalid memory, such as a page
// beyond the end of a truncated mapped file. The returned function restores the previous setting.
func panicOnFault() (restore func()) {
	before := debug.SetPanicOnFault(true)
	return func() { debug.SetPanicOnFault(before) }
}
