package harness

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/wait"
)

const (
	// gcPercent lets the heap grow fivefold between garbage collections: the event log only grows, and marking it takes
	// the CPU core from the stand-ins for tens of milliseconds.
	gcPercent = 400
	// settleTime is how long a run waits after the last time at which an outcome is due. The run then ends even if
	// submissions are still open.
	settleTime = 2500 * time.Millisecond
	// lingerTime is how long a run continues once all messages are completed, so that attempts and notifications that relays still
	// send for them are recorded and judged as well.
	lingerTime = 500 * time.Millisecond
)

// Run plays a scenario and judges the relays. It returns even if relays crash, hang or hold connections, and leaves behind
// no process and, except in Options.KeepDir, no file. An error means that the run could not be played.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (*Result, error) {
	if len(o.RelayCommand) == 0 {
		return nil, errors.New("options have no relay command")
	}
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	workDir, err := os.MkdirTemp("", "rehearsal-")
	if err != nil {
		return nil, fmt.Errorf("create the working folder of the run: %w", err)
	}
	defer func() { _ = os.RemoveAll(workDir) }() // a leftover temporary folder does not affect the verdict
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	h := newHarness(ctx, s, o, workDir)
	defer h.close(stop)
	messages, err := h.setUp(ctx)
	if err != nil {
		return nil, err
	}
	h.begin()
	begun := time.Now()
	h.play(ctx, messages)
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("run stopped: %w", err)
	}
	h.settleStores(ctx)
	result, err := h.check(messages)
	if err != nil {
		return nil, err
	}
	result.Duration = time.Since(begun)
	if o.KeepDir != "" {
		if err := h.saveLogs(); err != nil {
			return result, err
		}
	}
	return result, nil
}

// begin sets time 0 of the run, and starts the destinations' models, which run on the time of the run.
func (h *harness) begin() {
	h.setTimeZero()
	for _, destination := range h.destinations {
		destination.start()
	}
}

// play submits the scenario's messages, injects its faults, and waits for the terminal outcomes.
func (h *harness) play(ctx context.Context, messages []*scenario.Message) {
	ctx, stop := context.WithCancel(ctx)
	var concurrent sync.WaitGroup
	defer func() {
		stop()
		concurrent.Wait()
	}()
	concurrent.Go(func() { h.runTimeline(ctx) })
	concurrent.Go(func() { h.sampleUsage(ctx) })
	concurrent.Go(func() { h.printProgress(ctx, messages) })
	for _, m := range messages {
		if !h.until(ctx, m.At) {
			return
		}
		h.recordTiming(m.At)
		h.background.Go(func() { h.clients.submitFirst(m) })
	}
	h.awaitOutcomes(ctx)
}

// awaitOutcomes waits until the scenario's length has passed and every accepted message is completed or overdue.
func (h *harness) awaitOutcomes(ctx context.Context) {
	longestDeadline := 0.0
	for i := range h.scenario.Classes {
		longestDeadline = max(longestDeadline, h.scenario.Classes[i].Deadline)
	}
	h.until(ctx, scenario.Seconds(h.scenario.Length))
	last := scenario.Seconds(h.scenario.Length+longestDeadline+h.scenario.Rules.AnswerSlack) + settleTime
	pollUntil(ctx, last-h.now(), func() bool { return h.clients.idle() && h.ledger.allCompleted() })
	wait.For(ctx, lingerTime)
}

// until waits until a time of the run, and reports whether that time was reached before ctx ended.
func (h *harness) until(ctx context.Context, at time.Duration) bool { return wait.For(ctx, at-h.now()) }

// settleStores gives the relays time to move undelivered messages to their dead-letter stores, and then ends the relays,
// so that the stores no longer change while they are read.
func (h *harness) settleStores(ctx context.Context) {
	if h.scenario.Relay.Operator == "" {
		return
	}
	wait.For(ctx, storeSettleTime)
	for _, relay := range h.relays {
		relay.finish()
	}
}
