package faults

import (
	_ "embed" // the source of the preloaded library
	"encoding/binary"
	"fmt"
	"os"
	"sync"
	"time"
)

// wallClockSource is the C source of the preloaded library that steps a process's wall clock. It is in C because the library is loaded
// before the program starts.
//
//go:embed preload/wallclock.c
var wallClockSource []byte

const (
	offsetEnv = "FROSTLINK_WALL_CLOCK_OFFSET"
	// offsetSize is the size in bytes of the file that holds a clock's offset, an int64 of nanoseconds in the machine's byte order.
	offsetSize = 8
)

// WallClock is the wall clock of the processes that are started with its Env and with its Library preloaded. A step of the wall clock
// does not change their monotonic clocks. The processes have to be linked dynamically against the C library.
type WallClock struct {
	library string
	path    string

	mu     sync.Mutex // guards offset, and the file at path
	offset time.Duration
}

// BuildWallClockLibrary compiles the library into a folder and returns the library's path. It requires a C compiler.
func BuildWallClockLibrary(dir string) (string, error) {
	return buildLibrary(dir, "wallclock", wallClockSource)
}

// NewWallClock returns a clock that is not stepped yet. Its offset is stored in a file at path.
func NewWallClock(library, path string) (*WallClock, error) {
	if err := os.WriteFile(path, make([]byte, offsetSize), 0o600); err != nil {
		return nil, fmt.Errorf("write the offset of a wall clock: %w", err)
	}
	return &WallClock{library: library, path: path}, nil
}

// Env returns the environment variables that a process needs to use this clock, in addition to the library in LD_PRELOAD.
func (c *WallClock) Env() []string { return []string{offsetEnv + "=" + c.path} }

// Library returns the path of the library to preload.
func (c *WallClock) Library() string { return c.library }

// Step adds a duration, which may be negative, to the clock of running processes and of processes started later.
func (c *WallClock) Step(by time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += by
	return writeShared(c.path, 0, binary.NativeEndian.AppendUint64(nil, uint64(c.offset)))
}

// Offset returns the sum of all steps.
func (c *WallClock) Offset() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offset
}
