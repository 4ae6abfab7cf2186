package faults

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"frostlink/internal/fleettask"
)

// Execution is one act upon the resource, on the rig's clock.
type Execution struct {
	Relay      string        `json:"relay"`
	Token      uint64        `json:"token"`
	Begin, End time.Duration `json:"-"`
	Accepted   bool          `json:"accepted"` // it was not refused, neither at its begin nor at its end
}

// Resource is the stand-in on which the holder of a lease acts. An act takes a while. With Fenced it refuses a token
// lower than one that it has seen, at the act's begin and at its end.
type Resource struct {
	Fenced bool
	now    func() time.Duration
	ln     net.Listener
	srv    *http.Server

	mu      sync.Mutex
	rand    *rand.Rand
	low     time.Duration // of an act
	high    time.Duration
	highest uint64
	acts    []*Execution
	last    string // the relay that acted last
}

// NewResource opens a resource on an address of a run's own.
func NewResource(l *Loopback, fenced bool, seed uint64, low, high time.Duration, now func() time.Duration) (*Resource, error) {
	ln, err := l.Listen()
	if err != nil {
		return nil, err
	}
	r := &Resource{Fenced: fenced, now: now, ln: ln, rand: rand.New(rand.NewPCG(seed, 3)), low: low, high: high}
	r.srv = &http.Server{Handler: r}
	go func() { _ = r.srv.Serve(ln) }() // until Close
	return r, nil
}

// Addr is where the resource listens.
func (r *Resource) Addr() string { return r.ln.Addr().String() }

// Close ends it.
func (r *Resource) Close() { _ = r.srv.Close() }

// Acts gives the acts so far, by their begin.
func (r *Resource) Acts() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Execution, 0, len(r.acts))
	for _, a := range r.acts {
		one := *a
		if one.End == 0 {
			one.End = r.now()
		}
		list = append(list, one)
	}
	return list
}

// Last is the relay that acted last.
func (r *Resource) Last() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// ServeHTTP takes an act.
func (r *Resource) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	token, err := strconv.ParseUint(q.Header.Get(fleettask.HeaderToken), 10, 64)
	if err != nil {
		http.Error(w, "no token", http.StatusBadRequest)
		return
	}
	a, lasts := r.begin(q.Header.Get(fleettask.HeaderRelay), token)
	if a.Accepted {
		timer := time.NewTimer(lasts)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-q.Context().Done(): // its relay has cut it off, or is gone
		}
	}
	if !r.end(a) {
		http.Error(w, fmt.Sprintf("token %d is not the highest", token), http.StatusConflict)
	}
}

func (r *Resource) begin(relay string, token uint64) (*Execution, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &Execution{Relay: relay, Token: token, Begin: r.now(), Accepted: !r.Fenced || token >= r.highest}
	r.highest = max(r.highest, token)
	r.acts = append(r.acts, a)
	r.last = relay
	return a, r.low + time.Duration(r.rand.Int64N(int64(r.high-r.low)))
}

func (r *Resource) end(a *Execution) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.End = r.now()
	a.Accepted = a.Accepted && (!r.Fenced || a.Token >= r.highest)
	return a.Accepted
}
