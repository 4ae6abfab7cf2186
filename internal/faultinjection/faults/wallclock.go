package faults

import (
	_ "embed" // the source of the preloaded library
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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
	return buildLibrary(dir, "wallclock", wallClockSource)
}

// buildLibrary compiles the source of a library that is to be preloaded.
func buildLibrary(dir, name string, text []byte) (string, error) {
	source, library := filepath.Join(dir, name+".c"), filepath.Join(dir, name+".so")
	if err := os.WriteFile(source, text, 0o600); err != nil {
		return "", err
	}
	out, err := exec.Command("cc", "-shared", "-fPIC", "-O2", "-Wall", "-o", library, source).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("library %s: %w: %s", name, err, out)
	}
	return library, nil
}

// NewWallClock makes a clock that is not stepped yet; its offset is kept in a file at path.
func NewWallClock(library, path string) (*WallClock, error) {
	c := &WallClock{library: library, path: path}
	return c, c.Step(0)
}

// Env is what a process needs in its environment to go by this clock, beside the library in LD_PRELOAD.
func (c *WallClock) Env() []string { return []string{offsetEnv + "=" + c.path} }

// Library is what has to be preloaded.
func (c *WallClock) Library() string { return c.library }

// Preload is the variable of the environment that has libraries loaded into a process before it starts.
func Preload(libraries ...string) string { return preloadEnv + "=" + strings.Join(libraries, ":") }

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
