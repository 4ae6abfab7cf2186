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
	// minExecutionShare and maxExecutionShare bound how long an execution takes, as a part of a lease: TTL/100 to TTL/10. The
	// relays' timeout is longer.
	minExecutionShare = 100
	maxExecutionShare = 10
)

// harness is the members and relays of a run, with proxies between them.
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

// runCount counts the runs of this program.
var runCount atomic.Int64

// newHarness prepares all folders and proxies, and starts no process that lasts. It has to be closed.
func newHarness(o Options) (*harness, error) {
	h := &harness{
		options: o,
		// A name of its own: what crosses from one run to another is rejected.
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

// now returns the time since the harness was made: the one clock of a run.
func (h *harness) now() time.Duration { return time.Since(h.start) }

// link puts a proxy before an address.
func (h *harness) link(address string) (*Proxy, error) {
	p, err := NewProxy(h.loopback, address)
	if err != nil {
		return nil, err
	}
	h.proxies = append(h.proxies, p)
	return p, nil
}

// newProcess returns a process whose exit is a violation, unless it was caused on purpose.
func (h *harness) newProcess(name, logFile string, command ...string) *Process {
	p := NewProcess(name, logFile, h.launcher, command...)
	p.onExit = func(incarnation int, expected bool, err error) {
		if !expected {
			h.recorder.recordProcessViolation("%s ended by itself in its life %d: %v", name, incarnation, err)
		}
	}
	return p
}

// close ends all processes, proxies and listeners.
func (h *harness) close() {
	h.recorder.close()
	var work sync.WaitGroup
	for _, p := range h.processes() {
		work.Go(func() { _ = p.Kill() }) // the launcher's end kills what is left
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
		slog.Error("a loopback network stays reserved", logkey.Err, err)
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
