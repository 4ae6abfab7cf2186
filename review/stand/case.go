package stand

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	ruleHeld     = 0
	ruleBroken   = 1
	couldNotRun  = 2
	longestRun   = 110 * time.Second // a case may take 120 s
	recordMode   = 0o600
	pollInterval = 10 * time.Millisecond
)

// Case is one run of a case.
type Case struct {
	// Trouble reports whether the run has the disruption.
	Trouble bool
	// Dir is a temporary folder, which is removed at the end.
	Dir string

	root  string     // of the repository
	seeds *rand.Rand // draws the seeds of the relays' processes; guarded by mu
	begun time.Time

	mu      sync.Mutex // guards the fields below
	record  *os.File
	relays  []*Relay
	broken  []string
	closers []func()
}

// notRunError is the panic of a case that cannot run.
type notRunError struct{ error }

// Main runs a case and ends the process with its exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run. The
// environment names the folder of the case (CASE_FOLDER), whose parent's parent is the root of the repository, and whether there is a
// disruption (TROUBLE=0: none).
func Main(run func(ctx context.Context, c *Case)) {
	os.Exit(play(run))
}

func play(run func(ctx context.Context, c *Case)) (code int) {
	seed := flag.Uint64("seed", 1, "`number` from which the relays' random seeds are drawn")
	flag.Parse()
	folder := os.Getenv("CASE_FOLDER")
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if folder == "" || err != nil {
		fmt.Fprintln(os.Stderr, "no folder to record in:", err)
		return couldNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	c := &Case{
		Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, root: filepath.Join(folder, "../.."), seeds: rand.New(rand.NewPCG(*seed, 0)),
		begun: time.Now(), record: record,
	}
	ctx, cancel := context.WithTimeout(context.Background(), longestRun)
	defer cancel()
	defer func() {
		if p := recover(); p != nil {
			c.Logf("the case could not run: %v", p)
			code = couldNotRun
		}
		c.end()
	}()
	c.Logf("disruption: %v, seed %d", c.Trouble, *seed)
	run(ctx, c)
	if len(c.broken) > 0 {
		return ruleBroken
	}
	c.Logf("the rule held")
	return ruleHeld
}

// end ends all processes and stand-ins of the case.
func (c *Case) end() {
	c.mu.Lock()
	relays, closers := c.relays, c.closers
	c.mu.Unlock()
	for _, r := range relays {
		r.Kill()
	}
	for _, closeIt := range closers {
		closeIt()
	}
	_ = os.RemoveAll(c.Dir)
	_ = c.record.Close()
}

// relaySeed returns the random seed of a relay's process.
func (c *Case) relaySeed() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%016x", c.seeds.Uint64())
}

// atEnd has a function called at the end of the case.
func (c *Case) atEnd(closeIt func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closers = append(c.closers, closeIt)
}

// Logf writes a line to the record, with the time since the start of the case.
func (c *Case) Logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(c.begun).Seconds()) + fmt.Sprintf(format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintln(c.record, line)
	fmt.Fprintln(os.Stdout, line)
}

// Broken notes that the rule was broken.
func (c *Case) Broken(format string, args ...any) {
	c.Logf("RULE BROKEN: "+format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// NotRun ends the case as one that could not run.
func (c *Case) NotRun(format string, args ...any) {
	panic(notRunError{fmt.Errorf(format, args...)})
}

// check ends the case as one that could not run if err is set.
func (c *Case) check(err error) {
	if err != nil {
		panic(notRunError{err})
	}
}

// Await waits until a condition holds, and reports whether it did within a time.
func (c *Case) Await(ctx context.Context, within time.Duration, condition func() bool) bool {
	for until := time.Now().Add(within); ; {
		if condition() {
			return true
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return false
		}
		Sleep(ctx, pollInterval)
	}
}

// Sleep waits for a time, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
