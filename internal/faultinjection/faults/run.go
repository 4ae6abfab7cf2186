package faults

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"frostlink/internal/wait"
)

const (
	// quietPeriod is how long a run continues without faults at its end, in addition to twice the lease TTL.
	quietPeriod = 6 * time.Second
	// startTimeout bounds the time from the start of the processes to the first execution.
	startTimeout = 20 * time.Second
	// startPollInterval is the interval of checks for the first execution.
	startPollInterval = 20 * time.Millisecond
)

// Options describe a run.
type Options struct {
	Dir             string // folder of the run, with the logs and data folders of its processes
	RelayPath       string // path of the relay's program
	CoordinatorPath string // path of the program of the coordination service's members
	Members         int
	Relays          int
	TTL             time.Duration // of a lease
	Seed            uint64
	Length          time.Duration // of the period with faults; a quiet period follows
	Fenced          bool          // the resource rejects outdated tokens
	Schedule        []Fault       // nil: drawn from the seed
}

// RunIn executes one run in a new folder below parent. The folder is removed unless the run failed.
func RunIn(ctx context.Context, parent string, o Options) (Result, error) {
	dir, err := os.MkdirTemp(parent, fmt.Sprintf("run-%d-", o.Seed))
	if err != nil {
		return Result{}, fmt.Errorf("create the folder of a run: %w", err)
	}
	if o.Dir, err = filepath.Abs(dir); err != nil {
		return Result{}, fmt.Errorf("resolve the folder of a run: %w", err)
	}
	result, err := Run(ctx, o)
	if err != nil || len(result.Violations) > 0 {
		return result, err
	}
	if err := os.RemoveAll(dir); err != nil {
		return result, fmt.Errorf("remove the folder of a run: %w", err)
	}
	return result, nil
}

// Run executes one run with real processes, and returns its checked result.
func Run(ctx context.Context, o Options) (Result, error) {
	h, err := newHarness(o)
	if err != nil {
		return newResult(o), err
	}
	defer h.close()
	if err := h.startProcesses(ctx); err != nil {
		return newResult(o), err
	}
	schedule := o.Schedule
	if schedule == nil {
		schedule = DrawSchedule(o.Seed, o.Length, o.Members, o.Relays)
	}
	lateness := monitorLateness(ctx)
	h.injectAll(ctx, schedule)
	wait.For(ctx, quietPeriod+2*o.TTL)
	maxLateness := lateness.stop()
	if err := ctx.Err(); err != nil {
		return newResult(o), err
	}
	return judge(o, h.observe(maxLateness)), nil
}

// startProcesses starts all processes, and waits for the first execution.
func (h *harness) startProcesses(ctx context.Context) error {
	for _, p := range h.processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for deadline := h.now() + startTimeout; len(h.resource.Executions()) == 0; {
		if h.now() > deadline || !wait.For(ctx, startPollInterval) {
			return fmt.Errorf("no request of a relay reached the resource within %v; see the logs in %s", startTimeout, h.options.Dir)
		}
	}
	return nil
}

// injectAll injects each fault of a schedule at its time, and waits until all faults are over.
func (h *harness) injectAll(ctx context.Context, schedule []Fault) {
	start := h.now()
	var work sync.WaitGroup
	for _, f := range schedule {
		if !wait.For(ctx, start+f.At-h.now()) {
			break
		}
		work.Go(func() { h.inject(ctx, f) })
	}
	work.Wait()
}

// observe returns the run's observations up to the present.
func (h *harness) observe(maxLateness time.Duration) observations {
	seen := h.recorder.observations()
	seen.executions, seen.maxLateness, seen.end = h.resource.Executions(), maxLateness, h.now()
	return seen
}
