package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readyWithin is the time within which a relay has to be ready.
	readyWithin = 30 * time.Second
	// takenWithin is the time within which a relay has to take a new configuration on.
	takenWithin = 4 * time.Second
)

// runCommand matches the line of the deploy file that starts a relay.
var runCommand = regexp.MustCompile(`(?m)^run = "([^"]*)"$`)

// RelayConfig says how a relay is started.
type RelayConfig struct {
	Name            string
	Relays, Ordinal int
	Classes         []Class
	// HeldSocket has the platform hold the clients' socket, and pass it to each process as descriptor 4.
	HeldSocket bool
	Attempts   int // allowed for a message
	Platform   *Platform
	// Operator is the text of the operator's file, in which {dir} stands for a folder that outlasts the relay's processes; empty: none.
	Operator string
}

// Relay is a relay, whose process may be ended and started again.
type Relay struct {
	Address string
	cfg     RelayConfig
	c       *Case
	dir     string
	command string
	// socket is the clients' socket; nil: the process opens it.
	socket *os.File
	// management is the address for operators; empty: none.
	management string

	mu      sync.Mutex // guards the fields below
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

// NewRelay returns a relay that is not started yet.
func NewRelay(c *Case, cfg RelayConfig) *Relay {
	deploy, err := os.ReadFile(filepath.Join(c.root, "deploy/balancer.toml"))
	c.check(err)
	run := runCommand.FindSubmatch(deploy)
	if run == nil {
		c.NotRun("the deploy file has no run command")
	}
	r := &Relay{Address: c.freeAddress(), cfg: cfg, c: c, dir: filepath.Join(c.Dir, cfg.Name), command: string(run[1])}
	c.check(os.MkdirAll(filepath.Join(r.dir, "state"), 0o700))
	if cfg.HeldSocket {
		r.holdSocket()
	}
	r.writeConfig()
	if cfg.Operator != "" {
		path := filepath.Join(r.dir, "operator.toml")
		c.check(os.WriteFile(path, []byte(strings.ReplaceAll(cfg.Operator, "{dir}", r.dir)), recordMode))
		r.command += " -operator " + path
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays = append(c.relays, r)
	return r
}

// freeAddress returns a loopback address with a free port.
func (c *Case) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.check(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// writeConfig writes the relay's configuration.
func (r *Relay) writeConfig() {
	raw, err := json.Marshal(object{
		"name": r.cfg.Name, "listen": r.Address, "discovery": r.cfg.Platform.Address, "seed": r.c.relaySeed(),
		"limits": object{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets, "disk_mb": diskMB},
		"known":  r.cfg.Platform.List(), "settings": settings(&r.cfg),
	})
	r.c.check(err)
	r.c.check(os.WriteFile(filepath.Join(r.dir, "config.json"), raw, recordMode))
}

// Start starts the relay's process, and waits until it is ready.
func (r *Relay) Start(ctx context.Context) {
	if !r.TryStart(ctx) {
		r.c.NotRun("%s is not ready: %s", r.cfg.Name, r.Log())
	}
}

// TryStart starts the relay's process, and reports whether it is ready in time. It returns at once if the process ends.
func (r *Relay) TryStart(ctx context.Context) (ready bool) {
	r.launch(ctx)
	r.c.Await(ctx, readyWithin, func() bool { return r.Ended() || r.Ready(ctx) })
	if ready = !r.Ended() && r.Ready(ctx); ready {
		r.c.Logf("%s: ready", r.cfg.Name)
	}
	return ready
}

// StartNext starts another process of the relay, which is to take its place, and returns it.
func (r *Relay) StartNext(ctx context.Context) *Relay {
	next := &Relay{Address: r.Address, cfg: r.cfg, c: r.c, dir: r.dir, command: r.command, socket: r.socket, management: r.c.freeAddress()}
	r.c.mu.Lock()
	r.c.relays = append(r.c.relays, next)
	r.c.mu.Unlock()
	r.c.Logf("%s: the next process is started", r.cfg.Name)
	next.launch(ctx)
	return next
}

// holdSocket opens the clients' socket for all processes of the relay.
func (r *Relay) holdSocket() {
	l, err := net.Listen("tcp", r.Address)
	r.c.check(err)
	raw, ok := l.(*net.TCPListener)
	if !ok {
		r.c.NotRun("the listener is not one of TCP")
	}
	r.socket, err = raw.File()
	r.c.check(err)
	r.management = r.c.freeAddress()
	r.c.atEnd(func() { _, _ = raw.Close(), r.socket.Close() })
}

// launch starts the relay's process.
func (r *Relay) launch(ctx context.Context) {
	log, err := os.OpenFile(filepath.Join(r.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordMode)
	r.c.check(err)
	defer func() { _ = log.Close() }()
	process := exec.CommandContext(ctx, "/bin/sh", "-c", r.command)
	process.Dir, process.Stdout, process.Stderr = r.c.root, log, log
	process.Env = append(os.Environ(), "NODE_NAME="+r.cfg.Name, "NODE_LISTEN="+r.Address, "NODE_DISCOVERY="+r.cfg.Platform.Address,
		"NODE_STATE="+filepath.Join(r.dir, "state"), "NODE_CONFIG="+filepath.Join(r.dir, "config.json"), "TMPDIR="+r.dir)
	if r.socket != nil {
		nothing, err := os.Open(os.DevNull)
		r.c.check(err)
		defer func() { _ = nothing.Close() }()
		process.ExtraFiles = []*os.File{nothing, r.socket} // descriptors 3 and 4
		process.Env = append(process.Env, "NODE_LISTEN_FD=4", "NODE_MANAGEMENT="+r.management)
	}
	r.c.check(process.Start())
	ended := make(chan struct{})
	go func() {
		_ = process.Wait() // it is killed by the case
		close(ended)
	}()
	r.mu.Lock()
	r.process, r.ended = process, ended
	r.mu.Unlock()
}

// Ready reports whether the relay answers a health check as soon as clients want an answer.
func (r *Relay) Ready(ctx context.Context) bool { return asks(ctx, "http://"+r.Address+"/_health") }

// SaysYes reports whether the process answers its operators that it takes clients.
func (r *Relay) SaysYes(ctx context.Context) bool {
	return asks(ctx, "http://"+r.management+"/status")
}

// asks reports whether a request is answered with 200 as soon as clients want an answer.
func asks(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Signal sends a signal to the relay's process.
func (r *Relay) Signal(s syscall.Signal) {
	r.c.Logf("%s: %v", r.cfg.Name, s)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.process.Process.Signal(s)
}

// Kill kills the relay's process, and waits for its end.
func (r *Relay) Kill() {
	r.mu.Lock()
	process, ended := r.process, r.ended
	r.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-ended
}

// Ended reports whether the relay's process has ended.
func (r *Relay) Ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// Log returns the log of the relay's processes.
func (r *Relay) Log() string {
	text, err := os.ReadFile(filepath.Join(r.dir, "log"))
	if err != nil {
		return fmt.Sprint(err)
	}
	return string(text)
}

// Reconfigure gives the relay a configuration with other classes or another number of attempts, and the present address of
// discovery, by SIGHUP, and reports whether the relay has taken it on in time.
func (r *Relay) Reconfigure(ctx context.Context, classes []Class, attempts int) (taken bool) {
	const message = "configuration reloaded"
	before := strings.Count(r.Log(), message)
	r.cfg.Classes, r.cfg.Attempts = classes, attempts
	r.writeConfig()
	r.Signal(syscall.SIGHUP)
	return r.c.Await(ctx, takenWithin, func() bool { return strings.Count(r.Log(), message) > before })
}
