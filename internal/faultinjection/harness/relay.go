package harness

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"frostlink/internal/faultinjection/faults"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/invariant"
)

// logTailSize is how much of a relay's log a failure quotes, in bytes.
const logTailSize = 300

// relay is one relay: its present process, and the state that outlives its processes.
type relay struct {
	h        *harness
	number   int // from 0
	name     string
	listen   string   // address to which clients connect
	peer     string   // address at which other relays' datagrams arrive
	peers    []string // by relay: address to which this relay sends its datagrams for that relay
	peersAll string   // address to which this relay sends datagrams for all others

	clock         *faults.WallClock     // the wall clock of all its processes; nil: the machine's clock
	syscallErrors *faults.SyscallErrors // nil: no system call is made to fail
	socket        *os.File              // listening socket for clients, inherited by all its processes; nil: each process listens by itself

	mu               sync.Mutex // guards the fields below, and the fields of process that are marked as guarded
	discovery        string     // address of its discovery service
	settingsInForce  scenario.ReloadableSettings
	process          *process // the process that serves clients; nil: there is none
	starts           int      // number of processes started so far
	usage            ProcessUsage
	endedCPUSeconds  float64   // of processes that have ended
	metricsLatencies []float64 // seconds that its admin endpoint took for each read of its metrics
	onAcceptance     func()    // called once, right after a client has read the response that accepts a request; nil: not set
}

func newRelay(h *harness, number int) (*relay, error) {
	r := &relay{h: h, number: number, name: fmt.Sprintf("relay-%d", number+1), settingsInForce: h.scenario.InitialSettings()}
	r.usage.Name = r.name
	var err error
	if r.listen, err = h.loopback.Address(); err != nil {
		return nil, err
	}
	if r.peer, err = h.loopback.Address(); err != nil {
		return nil, err
	}
	if h.scenario.Upgrades() {
		if r.socket, err = listenFile(r.listen); err != nil {
			return nil, err
		}
	}
	for _, dir := range []string{r.stateDir(), r.tempDir()} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, fmt.Errorf("%s: %w", r.name, err)
		}
	}
	if err := r.openFaults(); err != nil {
		return nil, err
	}
	return r, nil
}

// openFaults prepares the faults that libraries inject into the relay's processes.
func (r *relay) openFaults() (err error) {
	if r.h.clockLibrary != "" {
		if r.clock, err = faults.NewWallClock(r.h.clockLibrary, filepath.Join(r.dir(), "wall-clock-offset")); err != nil {
			return err
		}
	}
	if r.h.syscallLibrary != "" {
		seed := r.h.random.Stream("syscalls", r.number).Uint64()
		r.syscallErrors, err = faults.NewSyscallErrors(r.h.syscallLibrary, filepath.Join(r.dir(), "syscall-rules"), r.stateDir(), seed)
	}
	return err
}

// listenFile returns a socket that listens on an address, for processes to inherit.
func listenFile(addr string) (*os.File, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on a socket for relay processes to inherit: %w", err)
	}
	defer func() { _ = ln.Close() }() // the file is a duplicate, and stays open
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		return nil, fmt.Errorf("duplicate a socket for relay processes to inherit: %w", err)
	}
	return file, nil
}

func (r *relay) dir() string          { return filepath.Join(r.h.workDir, r.name) }
func (r *relay) stateDir() string     { return filepath.Join(r.dir(), "state") }
func (r *relay) tempDir() string      { return filepath.Join(r.dir(), "tmp") }
func (r *relay) configPath() string   { return filepath.Join(r.dir(), "config.json") }
func (r *relay) operatorPath() string { return filepath.Join(r.dir(), "frostlink.toml") }
func (r *relay) logPath() string      { return filepath.Join(r.dir(), "log") }

// serving returns the process that serves clients, or nil.
func (r *relay) serving() *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process
}

func (r *relay) setDiscovery(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discovery = addr
}

// finish ends the relay for good.
func (r *relay) finish() {
	r.kill()
	if r.socket != nil {
		_ = r.socket.Close()
	}
}

// recordFailure records a failure of this relay.
func (r *relay) recordFailure(format string, args ...any) {
	r.h.recordFailure("%s: %s", r.name, fmt.Sprintf(format, args...))
}

// logTail returns the end of the relay's log as one quoted line.
func (r *relay) logTail() string {
	raw, _ := os.ReadFile(r.logPath()) // without a log there is nothing to quote
	tail := raw[max(0, len(raw)-logTailSize):]
	return strconv.Quote(strings.Join(strings.Fields(string(tail)), " "))
}

// violations returns the lines of the relay's log in which the relay itself reports a violated invariant.
func (r *relay) violations() (found []string) {
	raw, err := os.ReadFile(r.logPath())
	if err != nil {
		return []string{err.Error()}
	}
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, invariant.LogMessage) {
			found = append(found, r.name+": "+strings.TrimSpace(line))
		}
	}
	return found
}
