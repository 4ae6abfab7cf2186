package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"frostlink/internal/coord/api"
	"frostlink/internal/logkey"
	"frostlink/internal/settings"
)

// Options says what is started.
type Options struct {
	Dir             string // of the run: logs and folders stay in it
	RelayPath       string // the relay's program
	CoordinatorPath string // the coordination service's
	Members         int
	Relays          int
	TTL             time.Duration
	Seed            uint64
	Length          time.Duration // of trouble; calm follows
	Fenced          bool
	Steps           []Step // in place of those drawn from the seed; nil: those
}

// fleet is members, relays, and the proxies between them.
type fleet struct {
	o        Options
	cluster  string
	launcher *Launcher
	loopback *Loopback // where all that listens in this run has its addresses; nil: not open
	begun    time.Time
	members  []*member
	relays   []*relay
	resource *Resource
	caller   *api.Caller

	mu      sync.Mutex
	pauses  []Pause
	faults  []Violation
	deaths  []time.Duration // of holders that were killed
	latest  time.Duration   // the rig's own greatest lateness
	causing map[string]int
	over    bool
}

type member struct {
	*Process
	id      uint64
	address string
	links   []*Proxy // to the others, by number; nil: to itself
}

type relay struct {
	*Process
	links []*Proxy // to members
	out   *Proxy   // to the resource
}

func (f *fleet) now() time.Duration { return time.Since(f.begun) }

func (f *fleet) fault(check, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, Violation{check, fmt.Sprintf(format, args...)})
}

var nextRun atomic.Int64

// newFleet makes all folders and proxies, and starts nothing.
func newFleet(o Options) (*fleet, error) {
	f := &fleet{o: o, launcher: NewLauncher(), begun: time.Now(), causing: map[string]int{}}
	// A name of its own: what goes astray between two runs is refused.
	f.cluster = fmt.Sprintf("rehearsed-%d-%d", os.Getpid(), nextRun.Add(1))
	f.caller = api.NewCaller(f.cluster)
	var err error
	if f.loopback, err = NewLoopback(); err != nil {
		return f, err
	}
	// An act takes a tenth of a lease at most, as the relays are told.
	if f.resource, err = NewResource(f.loopback, o.Fenced, o.Seed, o.TTL/100, o.TTL/10, f.now); err != nil {
		return f, err
	}
	var first []string
	for i := range o.Members {
		at, err := f.loopback.Address()
		if err != nil {
			return f, err
		}
		m := &member{id: uint64(i + 1), address: at}
		f.members = append(f.members, m)
		first = append(first, fmt.Sprintf("%d=%s", m.id, at))
	}
	for _, m := range f.members {
		if err := f.makeMember(m, first); err != nil {
			return f, err
		}
	}
	for i := range o.Relays {
		r, err := f.makeRelay(i)
		if err != nil {
			return f, err
		}
		f.relays = append(f.relays, r)
	}
	return f, nil
}

func (f *fleet) makeMember(m *member, first []string) error {
	dir := filepath.Join(f.o.Dir, fmt.Sprint("member-", m.id))
	args := []string{f.o.CoordinatorPath, "init", "--folder", dir, "--cluster", f.cluster, "--id", fmt.Sprint(m.id)}
	for _, text := range first {
		args = append(args, "--member", text)
	}
	log := filepath.Join(f.o.Dir, fmt.Sprint("member-", m.id, ".log"))
	init := NewProcess("init", log, f.launcher, args...)
	if err := init.Start(); err != nil {
		return err
	}
	<-init.exited
	args = []string{f.o.CoordinatorPath, "run", "--folder", dir}
	for _, other := range f.members {
		if other == m {
			m.links = append(m.links, nil)
			continue
		}
		link, err := NewProxy(f.loopback, other.address)
		if err != nil {
			return err
		}
		m.links = append(m.links, link)
		args = append(args, "--reach", fmt.Sprintf("%d=%s", other.id, link.Addr()))
	}
	m.Process = NewProcess(fmt.Sprint("member-", m.id), log, f.launcher, args...)
	m.ended = f.noteEnd(m.Process)
	return nil
}

// noteEnd makes what notes that a process ended unasked: a rule broken, unless the run is over.
func (f *fleet) noteEnd(p *Process) func(life int, expected bool, err error) {
	return func(life int, expected bool, err error) {
		f.mu.Lock()
		over := f.over
		f.mu.Unlock()
		if !expected && !over {
			f.fault("process", "%s ended by itself in its life %d: %v", p.Name, life, err)
		}
	}
}

// makeRelay makes a relay without traffic: it takes part in the fleet's tasks alone.
func (f *fleet) makeRelay(number int) (*relay, error) {
	r := &relay{}
	name := fmt.Sprint("relay-", number+1)
	dir := filepath.Join(f.o.Dir, name)
	if err := os.MkdirAll(filepath.Join(dir, "state"), 0o700); err != nil {
		return nil, err
	}
	var members []string
	for _, m := range f.members {
		link, err := NewProxy(f.loopback, m.address)
		if err != nil {
			return nil, err
		}
		r.links = append(r.links, link)
		members = append(members, fmt.Sprintf("%q", fmt.Sprintf("%d=%s", m.id, link.Addr())))
	}
	out, err := NewProxy(f.loopback, f.resource.Addr())
	if err != nil {
		return nil, err
	}
	r.out = out
	own := fmt.Sprintf("version = 1\n[coordination]\ncluster = %q\nmembers = [%s]\nttl_ms = %d\n[coordination.beat]\nurl = %q\nevery_s = 0.01\nwithin_ms = %d\n",
		f.cluster, strings.Join(members, ", "), f.o.TTL.Milliseconds(), "http://"+out.Addr()+"/beat", (f.o.TTL / 5).Milliseconds())
	listen, err := f.loopback.Address()
	if err != nil {
		return nil, err
	}
	register, err := f.loopback.Address() // nobody listens there
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "discovery": register, "seed": fmt.Sprintf("%016x", f.o.Seed*1000+uint64(number)),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 128, "disk_mb": 3},
		"known":  map[string]any{"seq": 0, "whole": true, "hosts": []any{}},
		"settings": settings.Settings{
			Discovery: "subscribe", Instances: f.o.Relays, Ordinal: number, BatchIntervalS: 0.002, Weights: "nominal",
			Limits:           settings.Limits{IdleConnTimeoutS: 5, ConnectTimeoutS: 1, MaxAttempts: 3, MaxHeld: 100, MaxRetryAfterS: 3, RetryAfter: true},
			Rules:            settings.Rules{AnswerSlackS: 0.1, PollWithinS: 4, ColdCapacity: 0.3, DrainGraceS: 2, OverloadFactor: 2, OverloadWindowS: 1, SlowStartTimeS: 5},
			Report:           settings.Report{Columns: []string{}, Via: "off"},
			Specifics:        settings.Specifics{WeightDecay: "linear", MaxInFlight: 4, MaxBatch: []int{1}, SeparateRoutes: []bool{false}, ZoneCost: []float64{0}},
			Classes:          []settings.Class{{Name: "C", LatencyObjectiveS: 1, DeadlineS: 5, Idempotency: "retryable", KeyScope: "all", LateFraction: 0.5, PriorityWeight: 1}},
			DestinationKinds: []string{"A"}, Zones: []string{"L"},
		},
	})
	if err != nil {
		return nil, err
	}
	for file, text := range map[string]string{"config.json": string(config), "frostlink.toml": own} {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	r.Process = NewProcess(name, filepath.Join(f.o.Dir, name+".log"), f.launcher, f.o.RelayPath, "-config", filepath.Join(dir, "config.json"),
		"-state", filepath.Join(dir, "state"), "-operator", filepath.Join(dir, "frostlink.toml"))
	r.ended = f.noteEnd(r.Process)
	return r, nil
}

// close ends all processes and proxies.
func (f *fleet) close() {
	f.mu.Lock()
	f.over = true
	f.mu.Unlock()
	var work sync.WaitGroup
	for _, r := range f.relays {
		work.Go(func() { _ = r.Kill() }) // the launcher's end kills what is left
	}
	for _, m := range f.members {
		if m.Process != nil {
			work.Go(func() { _ = m.Kill() })
		}
	}
	work.Wait()
	f.launcher.Close()
	for _, r := range f.relays {
		for _, l := range r.links {
			l.Close()
		}
		r.out.Close()
	}
	for _, m := range f.members {
		for _, l := range m.links {
			if l != nil {
				l.Close()
			}
		}
	}
	if f.resource != nil {
		f.resource.Close()
	}
	if f.loopback != nil {
		if err := f.loopback.Close(); err != nil {
			slog.Error("a loopback network stays reserved", logkey.Err, err)
		}
	}
}

// leader gives the member that says that it leads, or the first.
func (f *fleet) leader() *member {
	for _, m := range f.members {
		ctx, stop := context.WithTimeout(context.Background(), 200*time.Millisecond)
		s, err := f.caller.Status(ctx, m.address)
		stop()
		if err == nil && s.Member.Role == "leader" {
			return m
		}
	}
	return f.members[0]
}

// holder gives the relay that acted last.
func (f *fleet) holder() *relay {
	last := f.resource.Last()
	for _, r := range f.relays {
		if r.Name == last {
			return r
		}
	}
	return f.relays[0]
}

// pause stops a relay, and notes for how long.
func (f *fleet) pause(r *relay, d time.Duration) {
	from := f.now()
	undo := r.Stop()
	time.Sleep(d)
	undo()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pauses = append(f.pauses, Pause{r.Name, from, f.now()})
}

// stopInAct stops a relay while a request of its act is on its way, and lets that arrive when the lease is long another's.
func (f *fleet) stopInAct(r *relay, d time.Duration) {
	uncut := r.out.Cut(up)
	defer uncut()
	for end := f.now() + f.o.TTL; !r.out.Holds(); time.Sleep(time.Millisecond) {
		if f.now() > end {
			return // it does not hold the lease any more
		}
	}
	arrive := time.AfterFunc(f.o.TTL+f.o.TTL/2, uncut)
	defer arrive.Stop()
	f.pause(r, max(d, 2*f.o.TTL+f.o.TTL/2))
}

// again kills a process and starts it after a while.
func (f *fleet) again(p *Process, d time.Duration) {
	if err := p.Kill(); err != nil {
		f.fault("process", "%v", err)
	}
	time.Sleep(d)
	if err := p.Start(); err != nil {
		f.fault("process", "%v", err)
	}
}

// cut holds what goes over links for a while.
func cut(links []*Proxy, ways []int, d time.Duration) {
	for _, l := range links {
		if l == nil {
			continue
		}
		for _, way := range ways {
			defer l.Cut(way)()
		}
	}
	time.Sleep(d)
}

// cause causes one fault, and ends it.
func (f *fleet) cause(s Step) {
	f.mu.Lock()
	f.causing[s.Kind]++
	f.mu.Unlock()
	m, r := f.members[s.Target%len(f.members)], f.relays[s.Target%len(f.relays)]
	switch {
	case strings.HasPrefix(s.Kind, "leader "):
		m = f.leader()
	case strings.HasPrefix(s.Kind, "holder "):
		r = f.holder()
	}
	both, one := []int{up, down}, []int{s.Way}
	switch s.Kind {
	case "holder killed":
		f.mu.Lock()
		f.deaths = append(f.deaths, f.now())
		f.mu.Unlock()
		f.again(r.Process, s.For)
	case "relay killed":
		f.again(r.Process, s.For)
	case "holder stopped", "relay stopped":
		f.pause(r, s.For)
	case "holder stopped in an act":
		f.stopInAct(r, s.For)
	case "holder cut one way", "relay cut one way":
		cut(r.links, one, s.For)
	case "holder cut off":
		cut(r.links, both, s.For)
	case "member killed", "leader killed":
		f.again(m.Process, s.For)
	case "member stopped", "leader stopped":
		undo := m.Stop()
		time.Sleep(s.For)
		undo()
	case "member cut one way", "leader cut one way":
		cut(m.links, one, s.For)
	case "leader cut off":
		cut(m.links, both, s.For)
	case "all members killed":
		var work sync.WaitGroup
		for _, one := range f.members {
			work.Go(func() { f.again(one.Process, s.For/4) })
		}
		work.Wait()
	case "slow links":
		for _, l := range m.links {
			if l != nil {
				l.Delay(s.Way, 100*time.Millisecond)
				defer l.Delay(s.Way, 0)
			}
		}
		time.Sleep(s.For)
	case "links reset":
		for _, l := range m.links {
			if l != nil {
				l.Reset()
			}
		}
		for _, l := range r.links {
			l.Reset()
		}
	case "disk full":
		if err := m.Fill(); err != nil {
			f.fault("process", "%v", err)
		}
		time.Sleep(s.For)
		f.again(m.Process, 0)
	default:
		slog.Error("unknown fault", logkey.Kind, s.Kind)
	}
}
