package boltfile

import (
	"fmt"
	"runtime/debug"
)

// Guard turns a panic into ErrDamaged. It is to be deferred.
func Guard(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("%w: %v", ErrDamaged, p)
	}
}

// panicOnFault has this goroutine panic where it reads memory that is not there, as behind the end of a
// mapped file that was cut short. The function that it returns restores the state before.
func panicOnFault() (restore func()) {
	before := debug.SetPanicOnFault(true)
	return func() { debug.SetPanicOnFault(before) }
}
