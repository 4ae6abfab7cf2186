package faults

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// programs is the folder of the programs that runs start.
var programs string

// TestMain builds the programs that runs start, or is a helper process of a test.
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

// runTests runs the tests with the programs built, and returns their exit code.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "faults-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	out, err := exec.Command("go", "build", "-o", dir, "frostlink/cmd/frostlink", "frostlink/cmd/frostlink-coord").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s\n", err, out)
		return 1
	}
	return m.Run()
}
