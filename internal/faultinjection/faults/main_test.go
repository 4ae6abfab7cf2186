package faults

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// programsDir is the folder that contains the built programs that runs start.
var programsDir string

// TestMain builds the programs that runs start, and runs the tests. If clockReaderEnv or callerEnv is set, the process is a helper
// process of a test instead.
func TestMain(m *testing.M) {
	if os.Getenv(clockReaderEnv) != "" {
		readClocks()
		return
	}
	if folder := os.Getenv(callerEnv); folder != "" {
		makeCalls(folder)
		return
	}
	os.Exit(runTests(m))
}

// runTests builds the programs, runs the tests, and returns the exit code.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "faults-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programsDir = dir
	out, err := exec.Command("go", "build", "-o", dir, "frostlink/cmd/frostlink", "frostlink/cmd/frostlink-coord").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s\n", err, out)
		return 1
	}
	return m.Run()
}
