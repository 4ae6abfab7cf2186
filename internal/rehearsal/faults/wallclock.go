package faults

import (
	_ "embed" // the source of the preloaded library
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// wallClockSource is the library that steps a process's wall clock, in C since it is loaded before the program starts.
//
//go:embed preload/wallclock.c
var wallClockSource []byte

const (
	preloadEnv = "LD_PRELOAD"
	offsetEnv  = "FROSTLINK_WALL_CLOCK_OFFSET"
)

// WallClock is the wall clock of the processes that are started with its Env. Their monotonic clocks run on unchanged when it is
// stepped. The processes have to be linked dynamically against the C library.
type WallClock struct {
	library string
	path    string

	mu     sync.Mutex
	offset time.Duration
}

// BuildWallClockLibrary compiles the library into a folder and gives its path. It needs a C compiler.
func BuildWallClockLibrary(dir string) (string, error) {
	source, library := filepath.Join(dir, "wallclock.c"), filepath.Join(dir, "wallclock.so")
	if err := os.WriteFile(source, wallClockSource, 0o600); err != nil {
		return "", err
	}
	out, err := exec.Command("cc", "-shared", "-fPIC", "-O2", "-o", library, source).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("the library that steps clocks: %w: %s", err, out)
	}
	return library, nil
}

// NewWallClock makes a clock that is not stepped yet; its offset is kept in a file at path.
func NewWallClock(library, path string) (*WallClock, error) {
	c := &WallClock{library: library, path: path}
	return c, c.Step(0)
}

// Env is what a process needs in its environment to go by this clock.
func (c *WallClock) Env() []string {
	return []string{preloadEnv + "=" + c.library, offsetEnv + "=" + c.path}
}

// Step moves the clock at once, for running processes and later ones.
func (c *WallClock) Step(by time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	file, err := os.OpenFile(c.path, os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	c.offset += by
	var raw [8]byte
	binary.NativeEndian.PutUint64(raw[:], uint64(c.offset))
	_, err = file.WriteAt(raw[:], 0)
	return err
}

// Offset is the sum of all steps.
func (c *WallClock) Offset() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offset
}
