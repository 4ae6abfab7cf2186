// Package harness plays a rehearsal on sockets: it starts relays as processes of their own, and stands round them as
// clients, partners, register, platform and network, all on loopback. What the stand-ins see goes into a log, by
// which package audit judges. What is decided (what partners answer, what is drawn, what breaks a rule) is in the
// packages script, partner and audit, which know neither sockets nor the time.
package harness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/faults"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/wait"
)

const (
	// lateThreshold is how much later than due an event of the rig counts as late, and voidShare the share of late ones
	// from which a run says more of the machine than of the relays.
	lateThreshold, voidLateShare = 5 * time.Millisecond, 0.01
	// settleTime after the last deadline a run ends, whatever is still open.
	settleTime = 2500 * time.Millisecond
	// gcPercent lets the heap grow fivefold between collections: the log only grows, and marking it takes the core
	// from the stand-ins for tens of milliseconds.
	gcPercent = 400
	// logBlock is how many events a block of the log holds.
	logBlock = 4096
	// sampleInterval is between looks at the relays' memory and descriptors.
	sampleInterval = 500 * time.Millisecond
)

// Options are what a run needs beside its script.
type Options struct {
	Seed         int64
	RelayCommand []string  // starts one relay
	Env          []string  // further environment of it
	KeepDir      string    // folder to keep logs in; empty: none are kept
	Progress     io.Writer // a line a second; nil: none
}

// Result is what a run showed.
type Result struct {
	Scenario    string        `json:"script"`
	Seed        int64         `json:"seed"`
	Duration    time.Duration `json:"took"`
	Void        bool          `json:"void"`       // the rig itself was late: no verdict on the relays
	LateShare   float64       `json:"late_share"` // of the rig's events, more than 5 ms after they were due
	Events      int           `json:"rig_events"`
	MaxLateness time.Duration `json:"late_most"`
	Failures    []string      `json:"faults"` // crashes, datagrams that are too long, and the like
	*checker.Report
	Processes                    []ProcessUsage `json:"processes"`
	Datagrams                    Datagrams      `json:"datagrams"`
	Undelivered                  map[string]int `json:"undelivered,omitempty"` // messages in the relays' stores, by state
	Overloads                    map[string]int `json:"falls,omitempty"`       // destinations pushed over, by whomever
	Redeliveries                 []Redeliveries `json:"resends,omitempty"`     // by partner, where there were any
	Timeline                     []string       `json:"timeline"`
	DestinationNames, RelayNames []string       `json:"-"`
}

// Passed tells whether the relays kept all rules and none crashed.
func (r *Result) Passed() bool { return len(r.Violations) == 0 && len(r.Failures) == 0 }

// harness is one run.
type harness struct {
	scenario *scenario.Scenario
	random   scenario.RandomStreams
	options  Options
	workDir  string
	started  time.Time // the run's time 0
	ctx      context.Context

	*recorder
	launcher     *faults.Launcher
	loopback     *faults.Loopback // where all that listens in this run has its addresses; nil: not open
	clockLibrary string           // steps relays' wall clocks; empty: no clock is stepped
	callLibrary  string           // has relays' system calls fail; empty: none is to
	coordination
	ledger       *ledger
	destinations []*destinationServer
	discovery    *discoveryServer
	relays       []*relay
	balancer     *loadBalancer
	clients      *clientPool
	network      *network
	timeline     []string
	background   sync.WaitGroup // what must end before the run does
}

// recorder keeps the log and the rig's own punctuality.
type recorder struct {
	start      time.Time    // of the program's part in the run
	zeroOffset atomic.Int64 // the run's time 0, in nanoseconds since start

	mu          sync.Mutex
	blocks      [][]checker.Event // in blocks: a slice that grows as a whole would hold all up while it is copied
	events      int
	lateEvents  int
	maxLateness time.Duration
	failures    []string
}

// now is the time of the run.
func (r *recorder) now() time.Duration {
	return time.Since(r.start) - time.Duration(r.zeroOffset.Load())
}

// record writes an event down, at the present time.
func (r *recorder) record(e checker.Event) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.now()
	last := len(r.blocks) - 1
	if last < 0 || len(r.blocks[last]) == logBlock {
		r.blocks = append(r.blocks, make([]checker.Event, 0, logBlock))
		last++
	}
	r.blocks[last] = append(r.blocks[last], e)
	return e.At
}

// eventLog is the log so far.
func (r *recorder) eventLog() []checker.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Concat(r.blocks...)
}

// recordTiming counts an event of the rig that was due at a time.
func (r *recorder) recordTiming(due time.Duration) {
	by := r.now() - due
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events++
	if by > lateThreshold {
		r.lateEvents++
	}
	r.maxLateness = max(r.maxLateness, by)
}

// recordFailure notes something that voids trust in a relay, whatever the rules say.
func (r *recorder) recordFailure(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf("%.3f s: ", r.now().Seconds())+fmt.Sprintf(format, args...))
}

// Run plays a script and judges it. It ends by itself, also where relays crash, hang or hold connections, and leaves
// no process and, but for Keep, no file behind. An error says that the run could not be played.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (*Result, error) {
	if len(o.RelayCommand) == 0 {
		return nil, errors.New("no command for a relay")
	}
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	dir, err := os.MkdirTemp("", "rehearsal-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &harness{scenario: s, random: scenario.NewRandomStreams(o.Seed), options: o, workDir: dir, recorder: &recorder{start: time.Now()}, launcher: faults.NewLauncher()}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r.ctx = ctx
	defer r.close(stop)
	if err := r.open(); err != nil {
		return nil, err
	}
	messages := s.Messages(r.random)
	before := s.BacklogMessages(r.random, len(messages), s.Relays*s.Relay.DeadLetterBacklog)
	r.clients = newClientPool(r, append(slices.Clone(messages), before...))
	if err := r.fillStores(before); err != nil {
		return nil, err
	}
	if err := r.startRelays(); err != nil {
		return nil, err
	}
	r.begin()
	begun := time.Now()
	r.play(messages)
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("stopped: %w", err)
	}
	if s.Relay.Operator != "" {
		wait.For(ctx, storeSettleTime)
		for _, rel := range r.relays { // the stores are read when nothing changes any more
			rel.finish()
		}
	}
	res, err := r.check(messages)
	if err != nil {
		return nil, err
	}
	res.Duration = time.Since(begun)
	if o.KeepDir != "" {
		if err := r.saveLogs(); err != nil {
			return res, err
		}
	}
	return res, nil
}

// open makes all stand-ins ready.
func (r *harness) open() error {
	r.ledger = newLedger()
	r.balancer = newLoadBalancer(r)
	var err error
	if r.loopback, err = faults.NewLoopback(); err != nil {
		return err
	}
	if r.scenario.StepsClocks() {
		if r.clockLibrary, err = faults.BuildWallClockLibrary(r.workDir); err != nil {
			return err
		}
	}
	if r.scenario.FailsSyscalls() {
		if r.callLibrary, err = faults.BuildSyscallLibrary(r.workDir); err != nil {
			return err
		}
	}
	for i := range r.scenario.Relays {
		rel, err := newRelay(r, i)
		if err != nil {
			return err
		}
		r.relays = append(r.relays, rel)
	}
	for i := range r.scenario.Destinations {
		l := newDestinationServer(r, i)
		r.destinations = append(r.destinations, l)
		for n := range r.scenario.Destinations[i].Endpoints {
			h, err := l.newEndpoint(n, nil)
			if err != nil {
				return err
			}
			l.endpoints = append(l.endpoints, h)
		}
	}
	if err := r.openCoordination(); err != nil {
		return err
	}
	if r.discovery, err = newDiscoveryServer(r); err != nil {
		return err
	}
	if r.network, err = newNetwork(r); err != nil {
		return err
	}
	return nil
}

// begin sets the run's time 0. What was logged before has times below it.
func (r *harness) begin() {
	r.mu.Lock()
	shift := r.now()
	r.zeroOffset.Add(int64(shift))
	for _, block := range r.blocks {
		for i := range block {
			block[i].At -= shift
			block[i].FirstByte -= shift
		}
	}
	r.mu.Unlock()
	for _, l := range r.destinations {
		l.start()
	}
}

// play sends what the script asks for, lets happen what is to go wrong, and waits for the ends.
func (r *harness) play(messages []*scenario.Message) {
	ctx, stop := context.WithCancel(r.ctx)
	defer stop()
	var side sync.WaitGroup
	defer side.Wait()
	defer stop()
	side.Go(func() { r.runTimeline(ctx) })
	side.Go(func() { r.sample(ctx) })
	side.Go(func() { r.progress(ctx, messages) })
	for _, m := range messages {
		if !r.until(ctx, m.At) {
			return
		}
		r.recordTiming(m.At)
		r.background.Go(func() { r.clients.submitFirst(m) })
	}
	longest := 0.0
	for _, c := range r.scenario.Classes {
		longest = max(longest, c.Deadline)
	}
	r.until(ctx, scenario.Seconds(r.scenario.Length))
	last := scenario.Seconds(r.scenario.Length+longest+r.scenario.Rules.AnswerSlack) + settleTime
	for r.now() < last && ctx.Err() == nil && !(r.clients.idle() && r.ledger.allCompleted()) {
		wait.For(ctx, 20*time.Millisecond)
	}
	// What relays still send for messages that are over belongs to the run.
	wait.For(ctx, 500*time.Millisecond)
}

// until waits for a time of the run, and tells whether it came.
func (r *harness) until(ctx context.Context, at time.Duration) bool { return wait.For(ctx, at-r.now()) }

// close ends all that the run started.
func (r *harness) close(stop context.CancelFunc) {
	stop()
	for _, rel := range r.relays {
		rel.finish()
	}
	if r.discovery != nil {
		r.discovery.close()
	}
	if r.network != nil {
		r.network.close()
	}
	for _, l := range r.destinations {
		l.close()
	}
	if r.clients != nil {
		r.clients.close()
	}
	r.background.Wait()
	for _, rel := range r.relays { // one may have been on its way up
		rel.finish()
	}
	for _, p := range r.coordination.members {
		if err := p.Kill(); err != nil {
			r.recordFailure("%v", err)
		}
	}
	r.launcher.Close()
	if r.loopback != nil {
		if err := r.loopback.Close(); err != nil {
			r.recordFailure("%v", err)
		}
	}
}

// parameters are what the auditor judges by.
func (r *harness) parameters() checker.Parameters {
	f := checker.Parameters{Settings: r.scenario.RelaySettings(0), NotifyWithin: scenario.Seconds(r.scenario.Discovery.NotifyWithin)}
	for i := range r.scenario.Destinations {
		p := &r.scenario.Destinations[i]
		f.Destinations = append(f.Destinations, checker.Destination{
			Name: p.Name, Capacity: r.scenario.Capacity(p),
			ColdCapacity: p.ColdCapacity, SlowStartTime: scenario.Seconds(p.SlowStartTime),
		})
	}
	return f
}

func requestsOf(s *scenario.Scenario, messages []*scenario.Message) []checker.Request {
	out := make([]checker.Request, len(messages))
	for i, m := range messages {
		out[i] = checker.Request{At: m.At, Destination: m.Destination, Class: m.Class, Tenant: m.Tenant, OverQuota: m.OverQuota}
	}
	return out
}

// check has the run audited.
func (r *harness) check(messages []*scenario.Message) (*Result, error) {
	r.mu.Lock()
	res := &Result{
		Scenario: r.scenario.Name, Seed: r.options.Seed, Events: r.events, MaxLateness: r.maxLateness, Failures: append([]string{}, r.failures...),
		LateShare: float64(r.lateEvents) / math.Max(1, float64(r.events)), Timeline: r.timeline,
	}
	over := r.now()
	r.mu.Unlock()
	for _, rel := range r.relays {
		res.Failures = append(res.Failures, rel.violations()...)
	}
	log := r.eventLog()
	f := r.parameters()
	res.Report = checker.Judge(f, log, over)
	res.MeasureWeight(f, requestsOf(r.scenario, messages), log)
	res.Datagrams = r.network.sum()
	res.Void = res.LateShare > voidLateShare
	for _, rel := range r.relays {
		rel.mu.Lock()
		rel.usage.AdminReads, rel.usage.AdminLatency = len(rel.adminLatencies), checker.QuantilesOf(rel.adminLatencies)
		res.Processes = append(res.Processes, rel.usage)
		rel.mu.Unlock()
	}
	for i, l := range r.destinations {
		res.DestinationNames = append(res.DestinationNames, r.scenario.Destinations[i].Name)
		l.mu.Lock()
		if n := l.model.Overloads(); n > 0 {
			if res.Overloads == nil {
				res.Overloads = map[string]int{}
			}
			res.Overloads[r.scenario.Destinations[i].Name] = n
		}
		l.mu.Unlock()
	}
	res.Redeliveries = resends(log, r.scenario)
	if r.scenario.Relay.Operator == "" {
		return res, nil
	}
	kept, unkept, err := r.deadLetters()
	if err != nil {
		return nil, err
	}
	if len(kept)+len(unkept) > 0 {
		res.Undelivered = res.CheckStores(f, log, kept, unkept, over)
	}
	return res, nil
}

// progress prints how the run goes, once a second.
func (r *harness) progress(ctx context.Context, messages []*scenario.Message) {
	if r.options.Progress == nil {
		return
	}
	classes := r.scenario.RelaySettings(0).Classes
	for tick := 1; r.until(ctx, time.Duration(tick)*time.Second); tick++ {
		sent, delivered, held, got, asked := r.ledger.progress(classes, messages, r.now())
		fmt.Fprintf(r.options.Progress, "%3d s  sent %6d  delivered %6d  held %5d  worth %.3f\n", tick, sent, delivered, held, got/max(1e-9, asked))
	}
}

// saveLogs writes the log and the relays' own into the folder asked for.
func (r *harness) saveLogs() error {
	if err := os.MkdirAll(r.options.KeepDir, 0o755); err != nil {
		return err
	}
	if err := r.writeLog(filepath.Join(r.options.KeepDir, "events.jsonl")); err != nil {
		return err
	}
	for _, rel := range r.relays {
		raw, err := os.ReadFile(rel.logPath())
		if err == nil {
			err = os.WriteFile(filepath.Join(r.options.KeepDir, rel.name+".log"), raw, 0o644)
		}
		if err == nil {
			err = rel.saveStore(filepath.Join(r.options.KeepDir, rel.name+"-undelivered"))
		}
		if err != nil {
			return err
		}
	}
	return nil
}
