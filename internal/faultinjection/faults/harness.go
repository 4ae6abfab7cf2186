package faults

import (
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"frostlink/internal/coord/api"
	"frostlink/internal/logkey"
)

const (
	// An execution takes between TTL/minExecutionShare and TTL/maxExecutionShare, where TTL is the lease's time to live. The relays'
	// timeout for a request, TTL/5, is longer.
	minExecutionShare = 100
	maxExecutionShare = 10
)

// harness holds the members and relays of a run, and the proxies between them.
type harness struct {
	options  Options
	cluster  string
	start    time.Time
	launcher *Launcher
	loopback *Loopback
	caller   *api.Caller
	resource *Resource
	members  []*member
	relays   []*relay
	proxies  []*Proxy // all of them
	recorder recorder
}

// runCount counts the runs of this process.
var runCount atomic.Int64

// newHarness prepares all folders and starts all proxies. The only processes that it runs are the members' init commands, which have
// ended when it returns. The harness has to be closed.
func newHarness(o Options) (*harness, error) {
	h := &harness{
		options: o,
		// The name is unique to the run, so that members reject requests that come from another run.
		cluster:  fmt.Sprintf("rehearsed-%d-%d", os.Getpid(), runCount.Add(1)),
		start:    time.Now(),
		launcher: NewLauncher(),
		recorder: recorder{injected: map[Kind]int{}},
	}
	h.caller = api.NewCaller(h.cluster)
	if err := h.build(); err != nil {
		h.close()
		return nil, err
	}
	return h, nil
}

func (h *harness) build() error {
	o := h.options
	var err error
	if h.loopback, err = NewLoopback(); err != nil {
		return err
	}
	h.resource, err = NewResource(h.loopback, o.Fenced, o.Seed, o.TTL/minExecutionShare, o.TTL/maxExecutionShare, h.now)
	if err != nil {
		return err
	}
	if err := h.addMembers(); err != nil {
		return err
	}
	for i := range o.Relays {
		if err := h.addRelay(i); err != nil {
			return err
		}
	}
	return nil
}

// now returns the time since the harness was created. All times in a run's records are on this clock.
func (h *harness) now() time.Duration { return time.Since(h.start) }

// link starts a proxy in front of an address.
func (h *harness) link(address string) (*Proxy, error) {
	p, err := NewProxy(h.loopback, address)
	if err != nil {
		return nil, err
	}
	h.proxies = append(h.proxies, p)
	return p, nil
}

// newProcess returns a process whose exit is recorded as a violation unless the harness caused it.
func (h *harness) newProcess(name, logFile string, command ...string) *Process {
	p := NewProcess(name, logFile, h.launcher, command...)
	p.onExit = func(incarnation int, expected bool, err error) {
		if !expected {
			h.recorder.recordProcessViolation("%s exited unexpectedly in incarnation %d: %v", name, incarnation, err)
		}
	}
	return p
}

// close ends all processes, and closes all proxies and listeners.
func (h *harness) close() {
	h.recorder.close()
	var work sync.WaitGroup
	for _, p := range h.processes() {
		work.Go(func() { _ = p.Kill() }) // closing the launcher kills remaining processes
	}
	work.Wait()
	h.launcher.Close()
	for _, p := range h.proxies {
		p.Close()
	}
	if h.resource != nil {
		h.resource.Close()
	}
	if h.loopback == nil {
		return
	}
	if err := h.loopback.Close(); err != nil {
		slog.Error("release of a loopback network failed; it stays reserved until this process exits", logkey.Err, err)
	}
}

// processes returns the members' and relays' processes, members first.
func (h *harness) processes() []*Process {
	list := make([]*Process, 0, len(h.members)+len(h.relays))
	for _, m := range h.members {
		list = append(list, m.Process)
	}
	for _, r := range h.relays {
		list = append(list, r.Process)
	}
	return list
}
