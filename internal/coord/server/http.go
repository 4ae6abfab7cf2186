package server

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
	"frostlink/internal/coord/replica"
)

const (
	// answerWithin is how long a command or read may take before its caller is told that it is not known.
	answerWithin = 5 * time.Second
	// hintWithin is how long a caller waits for a hint.
	hintWithin = 10 * time.Second
)

// Handler answers clients, operators and other members.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathRaft, n.raft)
	mux.HandleFunc("POST "+api.PathCommand, n.command)
	mux.HandleFunc("POST "+api.PathRead, n.read)
	mux.HandleFunc("POST "+api.PathWait, n.wait)
	mux.HandleFunc("POST "+api.PathMembers, n.members)
	mux.HandleFunc("POST "+api.PathSnapshot, n.snapshot)
	mux.HandleFunc("GET "+api.PathStatus, n.status)
	return mux
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller is gone, else
}

func refuse(w http.ResponseWriter, status int, why string) {
	reply(w, status, api.Response{Error: why})
}

// request reads a request's body. It is false where that was answered with what is wrong.
func (n *Node) request(w http.ResponseWriter, r *http.Request) (api.Request, bool) {
	var q api.Request
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return q, false
	}
	if q.Cluster != n.id.Cluster {
		refuse(w, http.StatusConflict, "this is a member of cluster \""+n.id.Cluster+"\", not of \""+q.Cluster+"\"")
		return q, false
	}
	return q, true
}

// notLeader names who leads, if it is known.
func (n *Node) notLeader(ctx context.Context, w http.ResponseWriter) {
	a := api.Response{Error: "this member does not lead"}
	n.do(ctx, func() {
		if leads, id := n.core.Leadership(); !leads {
			a.Leader = id
		}
		for _, m := range n.core.Machine().Members() {
			if m.ID == a.Leader {
				a.Address = m.Address
			}
		}
	})
	reply(w, http.StatusMisdirectedRequest, a)
}

func (n *Node) command(w http.ResponseWriter, r *http.Request) {
	q, ok := n.request(w, r)
	if !ok {
		return
	}
	if q.Command == nil {
		refuse(w, http.StatusBadRequest, "command: missing")
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), answerWithin)
	defer stop()
	a, taken := n.ask(ctx, func(tag uint64) bool { return n.core.Propose(tag, *q.Command) })
	switch {
	case !taken:
		n.notLeader(ctx, w)
	case a.OutcomeUnknown:
		refuse(w, http.StatusServiceUnavailable, "it is not known whether the command is applied")
	default:
		reply(w, http.StatusOK, api.Response{Result: &a.Result})
	}
}

// reading waits for a moment at which the state is no older than the call, and reads it there. It is false where that
// could not be had, which was answered.
func (n *Node) reading(w http.ResponseWriter, r *http.Request, look func(*coord.Machine)) bool {
	ctx, stop := context.WithTimeout(r.Context(), answerWithin)
	defer stop()
	a, taken := n.ask(ctx, func(tag uint64) bool { return n.core.ReadIndex(tag) })
	switch {
	case !taken:
		n.notLeader(ctx, w)
		return false
	case a.OutcomeUnknown || !n.do(ctx, func() { look(n.core.Machine()) }):
		refuse(w, http.StatusServiceUnavailable, "no majority answers")
		return false
	}
	return true
}

func all(prefix string) string { return strings.TrimSuffix(prefix, "*") }

func (n *Node) read(w http.ResponseWriter, r *http.Request) {
	q, ok := n.request(w, r)
	if !ok {
		return
	}
	if q.Query == nil {
		refuse(w, http.StatusBadRequest, "query: missing")
		return
	}
	var a api.Response
	if n.reading(w, r, func(m *coord.Machine) {
		a.Revision = m.Revision()
		if q.Query.Leases != "" {
			a.Leases = m.Leases(all(q.Query.Leases))
		}
		if q.Query.History != "" {
			a.History = m.History(all(q.Query.History))
		}
		if q.Query.Values != "" {
			a.Values = m.Values(all(q.Query.Values))
		}
		if q.Query.Changes != "" {
			var kept bool
			a.Changes, kept = m.Changes(q.Query.After, all(q.Query.Changes))
			a.Compacted = !kept
		}
	}) {
		reply(w, http.StatusOK, a)
	}
}

func (n *Node) snapshot(w http.ResponseWriter, r *http.Request) {
	if _, ok := n.request(w, r); !ok {
		return
	}
	var raw []byte
	if n.reading(w, r, func(m *coord.Machine) { raw = m.Snapshot() }) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(raw) // the caller is gone, else
	}
}

func (n *Node) wait(w http.ResponseWriter, r *http.Request) {
	q, ok := n.request(w, r)
	if !ok {
		return
	}
	if q.Wait == nil {
		refuse(w, http.StatusBadRequest, "wait: missing")
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), hintWithin)
	defer stop()
	var c chan struct{}
	leads := false
	n.do(ctx, func() {
		if leads, _ = n.core.Leadership(); leads {
			c = n.waiter(q.Wait.Session)
		}
	})
	if !leads {
		n.notLeader(ctx, w)
		return
	}
	select {
	case <-c:
		reply(w, http.StatusOK, api.Response{Hint: true})
	case <-ctx.Done():
		reply(w, http.StatusOK, api.Response{})
	case <-n.done:
		refuse(w, http.StatusServiceUnavailable, "this member ends")
	}
}

func (n *Node) members(w http.ResponseWriter, r *http.Request) {
	q, ok := n.request(w, r)
	if !ok {
		return
	}
	if (q.AddMember == nil) == (q.RemoveMember == 0) {
		refuse(w, http.StatusBadRequest, "join, leave: one of them is wanted")
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), answerWithin)
	defer stop()
	var err error
	leads := false
	there := func() (done bool) {
		n.do(ctx, func() {
			if q.AddMember != nil {
				done = n.core.Machine().HasMember(*q.AddMember)
			} else {
				done = !n.core.Machine().HasMemberID(q.RemoveMember)
			}
		})
		return done
	}
	n.do(ctx, func() {
		switch leads, _ = n.core.Leadership(); {
		case !leads:
		case q.AddMember != nil:
			err = n.core.AddMember(*q.AddMember)
		default:
			err = n.core.RemoveMember(q.RemoveMember)
		}
	})
	switch {
	case !leads:
		n.notLeader(ctx, w)
		return
	case err != nil:
		refuse(w, http.StatusConflict, err.Error())
		return
	}
	for !there() {
		select {
		case <-ctx.Done():
			refuse(w, http.StatusServiceUnavailable, "not done in time; another change may be under way: look at the members and try again")
			return
		case <-time.After(tick):
		}
	}
	reply(w, http.StatusOK, api.Response{})
}

func (n *Node) status(w http.ResponseWriter, r *http.Request) {
	s := api.Status{Cluster: n.id.Cluster}
	if !n.do(r.Context(), func() {
		s.Member, s.Members, s.Counts = n.core.Status(), n.core.Machine().Members(), n.core.Machine().Counts()
	}) {
		refuse(w, http.StatusServiceUnavailable, "this member ends")
		return
	}
	reply(w, http.StatusOK, s)
}

// raft takes messages of other members. Those of another cluster or version are refused, and said so once a call.
func (n *Node) raft(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxBodySize))
	var list []replica.Envelope
	if err == nil {
		list, err = unframe(body)
	}
	for _, e := range list {
		if e.Cluster != n.id.Cluster {
			err = errors.New("a member of cluster \"" + e.Cluster + "\" calls a member of \"" + n.id.Cluster + "\"")
		}
	}
	if err != nil {
		n.log.Warn("messages refused", "from", r.RemoteAddr, "why", err)
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if !n.do(r.Context(), func() {
		for _, e := range list {
			n.core.Receive(e)
		}
	}) {
		refuse(w, http.StatusServiceUnavailable, "this member ends")
		return
	}
	w.WriteHeader(http.StatusOK)
}
