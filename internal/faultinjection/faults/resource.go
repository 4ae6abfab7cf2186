package faults

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"frostlink/internal/fleettask"
	"frostlink/internal/logkey"
)

// executionStream selects the random stream, of a run's seed, from which the durations of executions are drawn.
const executionStream = 3

// Execution is one request of a lease holder to the resource. Its times are on the harness's clock.
type Execution struct {
	Relay      string        `json:"relay"`
	Token      uint64        `json:"token"`
	Begin, End time.Duration `json:"-"`
	Accepted   bool          `json:"accepted"` // the resource rejected it neither at its start nor at its end
}

// Resource is a stand-in for the service to which the holder of a lease sends its requests. Each request takes a random time between
// minDuration and maxDuration. A fenced resource checks the request's token when the request begins and again when it ends, and rejects
// a token lower than the highest one that it has received.
type Resource struct {
	fenced      bool
	minDuration time.Duration // of an execution
	maxDuration time.Duration // of an execution
	now         func() time.Duration
	listener    net.Listener
	server      *http.Server
	served      chan struct{} // closed when the server's goroutine has returned

	mu           sync.Mutex // guards the fields below
	random       *rand.Rand
	highestToken uint64
	executions   []*Execution
	lastRelay    string // the relay whose execution began last
}

// NewResource starts a resource on a new address of the run's loopback network.
func NewResource(l *Loopback, fenced bool, seed uint64, minDuration, maxDuration time.Duration, now func() time.Duration) (*Resource, error) {
	listener, err := l.Listen()
	if err != nil {
		return nil, err
	}
	r := &Resource{
		fenced: fenced, minDuration: minDuration, maxDuration: maxDuration, now: now, listener: listener, served: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, executionStream)),
	}
	r.server = &http.Server{Handler: r}
	go r.serve()
	return r, nil
}

func (r *Resource) serve() {
	defer close(r.served)
	if err := r.server.Serve(r.listener); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("resource server failed; it serves no further requests", logkey.Err, err)
	}
}

// Addr returns the address on which the resource listens.
func (r *Resource) Addr() string { return r.listener.Addr().String() }

// Close stops the resource's server.
func (r *Resource) Close() {
	_ = r.server.Close() // requests in flight are aborted on purpose
	<-r.served
}

// Executions returns the executions so far, in the order of their start. Executions in flight are returned with the present as their
// end.
func (r *Resource) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Execution, 0, len(r.executions))
	for _, e := range r.executions {
		execution := *e
		if execution.End == 0 {
			execution.End = r.now()
		}
		list = append(list, execution)
	}
	return list
}

// LastRelay returns the relay whose execution began last.
func (r *Resource) LastRelay() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastRelay
}

// ServeHTTP serves one request, and records it as an execution.
func (r *Resource) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	token, err := strconv.ParseUint(q.Header.Get(fleettask.HeaderToken), 10, 64)
	if err != nil {
		http.Error(w, "no token", http.StatusBadRequest)
		return
	}
	execution, duration := r.begin(q.Header.Get(fleettask.HeaderRelay), token)
	if execution.Accepted {
		timer := time.NewTimer(duration)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-q.Context().Done(): // the relay has aborted the request, or has exited
		}
	}
	if !r.end(execution) {
		http.Error(w, fmt.Sprintf("token %d is not the highest", token), http.StatusConflict)
	}
}

// begin records the start of an execution, and draws its duration.
func (r *Resource) begin(relay string, token uint64) (*Execution, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &Execution{Relay: relay, Token: token, Begin: r.now(), Accepted: r.admits(token)}
	r.highestToken = max(r.highestToken, token)
	r.executions = append(r.executions, e)
	r.lastRelay = relay
	return e, r.minDuration + time.Duration(r.random.Int64N(int64(r.maxDuration-r.minDuration)))
}

// end records the end of an execution, and reports whether the execution was accepted.
func (r *Resource) end(e *Execution) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.End = r.now()
	e.Accepted = e.Accepted && r.admits(e.Token)
	return e.Accepted
}

// admits reports whether the resource accepts a token at present. The caller holds r.mu.
func (r *Resource) admits(token uint64) bool { return !r.fenced || token >= r.highestToken }
