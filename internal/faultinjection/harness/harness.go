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
	// lateBy is how much later than due an event of the rig counts as late, and voidShare the share of late ones
	// from which a run says more of the machine than of the relays.
	lateBy, voidShare = 5 * time.Millisecond, 0.01
	// settleTime after the last deadline a run ends, whatever is still open.
	settleTime = 2500 * time.Millisecond
	// gcPercent lets the heap grow fivefold between collections: the log only grows, and marking it takes the core
	// from the stand-ins for tens of milliseconds.
	gcPercent = 400
	// logBlock is how many events a block of the log holds.
	logBlock = 4096
	// sampleEvery is between looks at the relays' memory and descriptors.
	sampleEvery = 500 * time.Millisecond
)

// Options are what a run needs beside its script.
type Options struct {
	Seed     int64
	Command  []string  // starts one relay
	Env      []string  // further environment of it
	Keep     string    // folder to keep logs in; empty: none are kept
	Progress io.Writer // a line a second; nil: none
}

// Result is what a run showed.
type Result struct {
	Script   string        `json:"script"`
	Seed     int64         `json:"seed"`
	Took     time.Duration `json:"took"`
	Void     bool          `json:"void"`       // the rig itself was late: no verdict on the relays
	Late     float64       `json:"late_share"` // of the rig's events, more than 5 ms after they were due
	Events   int           `json:"rig_events"`
	LateMost time.Duration `json:"late_most"`
	Faults   []string      `json:"faults"` // crashes, datagrams that are too long, and the like
	*checker.Report
	Processes                []Process      `json:"processes"`
	Notes                    Datagrams      `json:"datagrams"`
	Undelivered              map[string]int `json:"undelivered,omitempty"` // messages in the relays' stores, by state
	Falls                    map[string]int `json:"falls,omitempty"`       // partners pushed over, by whomever
	Resends                  []Resends      `json:"resends,omitempty"`     // by partner, where there were any
	Timeline                 []string       `json:"timeline"`
	PartnerNames, RelayNames []string       `json:"-"`
}

// Good tells whether the relays kept all rules and none crashed.
func (r *Result) Good() bool { return len(r.Breaches) == 0 && len(r.Faults) == 0 }

// rig is one run.
type rig struct {
	s       *scenario.Script
	d       scenario.Draws
	o       Options
	dir     string
	started time.Time // the run's time 0
	ctx     context.Context

	*recorder
	launcher     *faults.Launcher
	loopback     *faults.Loopback // where all that listens in this run has its addresses; nil: not open
	clockLibrary string           // steps relays' wall clocks; empty: no clock is stepped
	callLibrary  string           // has relays' system calls fail; empty: none is to
	coordination
	book     *book
	partners []*live
	register *register
	relays   []*relay
	front    *front
	clients  *clients
	network  *network
	timeline []string
	work     sync.WaitGroup // what must end before the run does
}

// recorder keeps the log and the rig's own punctuality.
type recorder struct {
	start time.Time    // of the program's part in the run
	zero  atomic.Int64 // the run's time 0, in nanoseconds since start

	mu     sync.Mutex
	log    [][]checker.Event // in blocks: a slice that grows as a whole would hold all up while it is copied
	events int
	late   int
	most   time.Duration
	faults []string
}

// now is the time of the run.
func (r *recorder) now() time.Duration { return time.Since(r.start) - time.Duration(r.zero.Load()) }

// note writes an event down, at the present time.
func (r *recorder) note(e checker.Event) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.now()
	last := len(r.log) - 1
	if last < 0 || len(r.log[last]) == logBlock {
		r.log = append(r.log, make([]checker.Event, 0, logBlock))
		last++
	}
	r.log[last] = append(r.log[last], e)
	return e.At
}

// written is the log so far.
func (r *recorder) written() []checker.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Concat(r.log...)
}

// punctual counts an event of the rig that was due at a time.
func (r *recorder) punctual(due time.Duration) {
	by := r.now() - due
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events++
	if by > lateBy {
		r.late++
	}
	r.most = max(r.most, by)
}

// fault notes something that voids trust in a relay, whatever the rules say.
func (r *recorder) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf("%.3f s: ", r.now().Seconds())+fmt.Sprintf(format, args...))
}

// Run plays a script and judges it. It ends by itself, also where relays crash, hang or hold connections, and leaves
// no process and, but for Keep, no file behind. An error says that the run could not be played.
func Run(ctx context.Context, s *scenario.Script, o Options) (*Result, error) {
	if len(o.Command) == 0 {
		return nil, errors.New("no command for a relay")
	}
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	dir, err := os.MkdirTemp("", "rehearsal-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &rig{s: s, d: scenario.NewDraws(o.Seed), o: o, dir: dir, recorder: &recorder{start: time.Now()}, launcher: faults.NewLauncher()}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r.ctx = ctx
	defer r.close(stop)
	if err := r.open(); err != nil {
		return nil, err
	}
	messages := s.Messages(r.d)
	before := s.Before(r.d, len(messages), s.Relays*s.Relay.Backlog)
	r.clients = newClients(r, append(slices.Clone(messages), before...))
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
		wait.For(ctx, storesWithin)
		for _, rel := range r.relays { // the stores are read when nothing changes any more
			rel.finish()
		}
	}
	res, err := r.judge(messages)
	if err != nil {
		return nil, err
	}
	res.Took = time.Since(begun)
	if o.Keep != "" {
		if err := r.keep(); err != nil {
			return res, err
		}
	}
	return res, nil
}

// open makes all stand-ins ready.
func (r *rig) open() error {
	r.book = newBook()
	r.front = newFront(r)
	var err error
	if r.loopback, err = faults.NewLoopback(); err != nil {
		return err
	}
	if r.s.StepsClocks() {
		if r.clockLibrary, err = faults.BuildWallClockLibrary(r.dir); err != nil {
			return err
		}
	}
	if r.s.FailsCalls() {
		if r.callLibrary, err = faults.BuildSyscallLibrary(r.dir); err != nil {
			return err
		}
	}
	for i := range r.s.Relays {
		rel, err := newRelay(r, i)
		if err != nil {
			return err
		}
		r.relays = append(r.relays, rel)
	}
	for i := range r.s.Partners {
		l := newLive(r, i)
		r.partners = append(r.partners, l)
		for n := range r.s.Partners[i].Endpoints {
			h, err := l.addHost(n, nil)
			if err != nil {
				return err
			}
			l.hosts = append(l.hosts, h)
		}
	}
	if err := r.openCoordination(); err != nil {
		return err
	}
	if r.register, err = newRegister(r); err != nil {
		return err
	}
	if r.network, err = newNetwork(r); err != nil {
		return err
	}
	return nil
}

// begin sets the run's time 0. What was logged before has times below it.
func (r *rig) begin() {
	r.mu.Lock()
	shift := r.now()
	r.zero.Add(int64(shift))
	for _, block := range r.log {
		for i := range block {
			block[i].At -= shift
			block[i].FirstByte -= shift
		}
	}
	r.mu.Unlock()
	for _, l := range r.partners {
		l.start()
	}
}

// play sends what the script asks for, lets happen what is to go wrong, and waits for the ends.
func (r *rig) play(messages []*scenario.Message) {
	ctx, stop := context.WithCancel(r.ctx)
	defer stop()
	var side sync.WaitGroup
	defer side.Wait()
	defer stop()
	side.Go(func() { r.happenings(ctx) })
	side.Go(func() { r.sample(ctx) })
	side.Go(func() { r.progress(ctx, messages) })
	for _, m := range messages {
		if !r.until(ctx, m.At) {
			return
		}
		r.punctual(m.At)
		r.work.Go(func() { r.clients.first(m) })
	}
	longest := 0.0
	for _, c := range r.s.Classes {
		longest = max(longest, c.Deadline)
	}
	r.until(ctx, scenario.Seconds(r.s.Length))
	last := scenario.Seconds(r.s.Length+longest+r.s.Rules.AnswerSlack) + settleTime
	for r.now() < last && ctx.Err() == nil && !(r.clients.idle() && r.book.settled()) {
		wait.For(ctx, 20*time.Millisecond)
	}
	// What relays still send for messages that are over belongs to the run.
	wait.For(ctx, 500*time.Millisecond)
}

// until waits for a time of the run, and tells whether it came.
func (r *rig) until(ctx context.Context, at time.Duration) bool { return wait.For(ctx, at-r.now()) }

// close ends all that the run started.
func (r *rig) close(stop context.CancelFunc) {
	stop()
	for _, rel := range r.relays {
		rel.finish()
	}
	if r.register != nil {
		r.register.close()
	}
	if r.network != nil {
		r.network.close()
	}
	for _, l := range r.partners {
		l.close()
	}
	if r.clients != nil {
		r.clients.close()
	}
	r.work.Wait()
	for _, rel := range r.relays { // one may have been on its way up
		rel.finish()
	}
	for _, p := range r.coordination.members {
		if err := p.Kill(); err != nil {
			r.fault("%v", err)
		}
	}
	r.launcher.Close()
	if r.loopback != nil {
		if err := r.loopback.Close(); err != nil {
			r.fault("%v", err)
		}
	}
}

// figures are what the auditor judges by.
func (r *rig) figures() checker.Terms {
	f := checker.Terms{Settings: r.s.Settings(0), TellWithin: scenario.Seconds(r.s.Register.TellWithin)}
	for i := range r.s.Partners {
		p := &r.s.Partners[i]
		f.Destinations = append(f.Destinations, checker.Destination{
			Name: p.Name, Capacity: r.s.Capacity(p),
			ColdShare: p.ColdShare, Warm: scenario.Seconds(p.Warm),
		})
	}
	return f
}

func wants(s *scenario.Script, messages []*scenario.Message) []checker.Request {
	out := make([]checker.Request, len(messages))
	for i, m := range messages {
		out[i] = checker.Request{At: m.At, Dest: m.Partner, Class: m.Class, Tenant: m.Tenant, OverShare: m.OverShare}
	}
	return out
}

// judge has the run audited.
func (r *rig) judge(messages []*scenario.Message) (*Result, error) {
	r.mu.Lock()
	res := &Result{
		Script: r.s.Name, Seed: r.o.Seed, Events: r.events, LateMost: r.most, Faults: append([]string{}, r.faults...),
		Late: float64(r.late) / math.Max(1, float64(r.events)), Timeline: r.timeline,
	}
	over := r.now()
	r.mu.Unlock()
	for _, rel := range r.relays {
		res.Faults = append(res.Faults, rel.violations()...)
	}
	log := r.written()
	f := r.figures()
	res.Report = checker.Judge(f, log, over)
	res.Weigh(f, wants(r.s, messages), log)
	res.Notes = r.network.sum()
	res.Void = res.Late > voidShare
	for _, rel := range r.relays {
		rel.mu.Lock()
		rel.usage.Reads, rel.usage.Door = len(rel.took), checker.Quantiles(rel.took)
		res.Processes = append(res.Processes, rel.usage)
		rel.mu.Unlock()
	}
	for i, l := range r.partners {
		res.PartnerNames = append(res.PartnerNames, r.s.Partners[i].Name)
		l.mu.Lock()
		if n := l.p.Falls(); n > 0 {
			if res.Falls == nil {
				res.Falls = map[string]int{}
			}
			res.Falls[r.s.Partners[i].Name] = n
		}
		l.mu.Unlock()
	}
	res.Resends = resends(log, r.s)
	if r.s.Relay.Operator == "" {
		return res, nil
	}
	kept, unkept, err := r.stores()
	if err != nil {
		return nil, err
	}
	if len(kept)+len(unkept) > 0 {
		res.Undelivered = res.Stores(f, log, kept, unkept, over)
	}
	return res, nil
}

// progress prints how the run goes, once a second.
func (r *rig) progress(ctx context.Context, messages []*scenario.Message) {
	if r.o.Progress == nil {
		return
	}
	classes := r.s.Settings(0).Classes
	for tick := 1; r.until(ctx, time.Duration(tick)*time.Second); tick++ {
		sent, delivered, held, got, asked := r.book.sum(classes, messages, r.now())
		fmt.Fprintf(r.o.Progress, "%3d s  sent %6d  delivered %6d  held %5d  worth %.3f\n", tick, sent, delivered, held, got/max(1e-9, asked))
	}
}

// keep writes the log and the relays' own into the folder asked for.
func (r *rig) keep() error {
	if err := os.MkdirAll(r.o.Keep, 0o755); err != nil {
		return err
	}
	if err := r.writeLog(filepath.Join(r.o.Keep, "events.jsonl")); err != nil {
		return err
	}
	for _, rel := range r.relays {
		raw, err := os.ReadFile(rel.logPath())
		if err == nil {
			err = os.WriteFile(filepath.Join(r.o.Keep, rel.name+".log"), raw, 0o644)
		}
		if err == nil {
			err = rel.keepStore(filepath.Join(r.o.Keep, rel.name+"-undelivered"))
		}
		if err != nil {
			return err
		}
	}
	return nil
}
