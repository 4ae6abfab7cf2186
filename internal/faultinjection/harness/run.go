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
	// gcPercent lets the heap grow fivefold between collections: the log only grows, and marking it takes the core
	// from the stand-ins for tens of milliseconds.
	gcPercent = 400
	// settleTime after the last deadline a run ends, whatever is still open.
	settleTime = 2500 * time.Millisecond
	// lingerTime is for what relays still send for completed messages: it belongs to the run.
	lingerTime = 500 * time.Millisecond
)

// Run plays a scenario and judges the relays. It ends by itself, even if relays crash, hang or hold connections, and leaves
// no process and, but for Options.KeepDir, no file behind. An error means that the run could not be played.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (*Result, error) {
	if len(o.RelayCommand) == 0 {
		return nil, errors.New("no command for a relay")
	}
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	workDir, err := os.MkdirTemp("", "rehearsal-")
	if err != nil {
		return nil, fmt.Errorf("working folder of the run: %w", err)
	}
	defer func() { _ = os.RemoveAll(workDir) }() // a temporary folder that stays behind makes no verdict wrong
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
		return nil, fmt.Errorf("stopped: %w", err)
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

// begin sets the run's time 0, and starts what goes by it.
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

// awaitOutcomes waits until the scenario's time is over and every accepted message is completed, or is overdue.
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

// until waits for a time of the run, and reports whether it came before ctx ended.
func (h *harness) until(ctx context.Context, at time.Duration) bool { return wait.For(ctx, at-h.now()) }

// settleStores lets the relays hand over to their dead-letter stores and ends them: stores are read once nothing
// changes any more.
func (h *harness) settleStores(ctx context.Context) {
	if h.scenario.Relay.Operator == "" {
		return
	}
	wait.For(ctx, storeSettleTime)
	for _, relay := range h.relays {
		relay.finish()
	}
}
