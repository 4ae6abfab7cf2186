package faults

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// clockReaderEnv is an environment variable that makes the test binary act as a helper process, which prints its wall clock and its
// monotonic clock for each line that it reads.
const clockReaderEnv = "FROSTLINK_TEST_CLOCK_READER"

// readClocks is the main function of the helper process.
func readClocks() {
	start := time.Now()
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		fmt.Println(time.Now().UnixNano(), int64(time.Since(start)))
	}
}

func TestWallClock_StepLeavesMonotonicClockAlone(t *testing.T) {
	dir := t.TempDir()
	library, err := BuildWallClockLibrary(dir)
	if err != nil {
		t.Fatal(err)
	}
	clock, err := NewWallClock(library, filepath.Join(dir, "offset"))
	if err != nil {
		t.Fatal(err)
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program)
	cmd.Env = append(append(os.Environ(), clock.Env()...), Preload(clock.Library()), clockReaderEnv+"=1")
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	read := func() (ahead, since time.Duration) {
		t.Helper()
		before := time.Now()
		if _, err := fmt.Fprintln(in); err != nil {
			t.Fatal(err)
		}
		var wall, monotonic int64
		if _, err := fmt.Fscan(out, &wall, &monotonic); err != nil {
			t.Fatal(err)
		}
		return time.Unix(0, wall).Sub(before.Round(0)), time.Duration(monotonic)
	}
	const slack = 10 * time.Second // much longer than an answer takes on a busy machine, and much shorter than the steps
	_, last := read()
	for _, step := range []time.Duration{time.Hour, -2 * time.Hour, time.Hour} {
		if err := clock.Step(step); err != nil {
			t.Fatal(err)
		}
		ahead, since := read()
		if d := (ahead - clock.Offset()).Abs(); d > slack {
			t.Errorf("stepped by %v: the wall clock is ahead by %v, want %v", step, ahead, clock.Offset())
		}
		if since < last || since-last > slack {
			t.Errorf("stepped by %v: the monotonic clock went from %v to %v", step, last, since)
		}
		last = since
	}
	_ = in.Close()
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
}
