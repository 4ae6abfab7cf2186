package server

import (
	"context"
	"net/http"
	"strings"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
)

func (n *Node) handleCommand(w http.ResponseWriter, r *http.Request) {
	request, ok := n.decodeRequest(w, r)
	if !ok {
		return
	}
	if request.Command == nil {
		writeError(w, http.StatusBadRequest, "command: missing")
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), requestTimeout)
	defer stop()
	completion, leading := n.await(ctx, func(tag uint64) bool { return n.core.Propose(tag, *request.Command) })
	switch {
	case !leading:
		n.writeNotLeader(ctx, w)
	case completion.OutcomeUnknown:
		writeError(w, http.StatusServiceUnavailable, "it is not known whether the command is applied")
	default:
		writeJSON(w, http.StatusOK, api.Response{Result: &completion.Result})
	}
}

// readState waits until the state is no older than the call, and then runs read on the loop's
// goroutine. If it reports false, it has already answered the caller with the reason.
func (n *Node) readState(w http.ResponseWriter, r *http.Request, read func(*coord.Machine)) bool {
	ctx, stop := context.WithTimeout(r.Context(), requestTimeout)
	defer stop()
	completion, leading := n.await(ctx, func(tag uint64) bool { return n.core.ReadIndex(tag) })
	switch {
	case !leading:
		n.writeNotLeader(ctx, w)
		return false
	case completion.OutcomeUnknown || !n.do(ctx, func() { read(n.core.Machine()) }):
		writeError(w, http.StatusServiceUnavailable, "no majority answers")
		return false
	}
	return true
}

func (n *Node) handleRead(w http.ResponseWriter, r *http.Request) {
	request, ok := n.decodeRequest(w, r)
	if !ok {
		return
	}
	if request.Query == nil {
		writeError(w, http.StatusBadRequest, "query: missing")
		return
	}
	var response api.Response
	if n.readState(w, r, func(m *coord.Machine) { response = query(m, request.Query) }) {
		writeJSON(w, http.StatusOK, response)
	}
}

// query reads the data that a query selects.
func query(m *coord.Machine, q *api.Query) api.Response {
	response := api.Response{Revision: m.Revision()}
	if q.Leases != "" {
		response.Leases = m.Leases(prefixOf(q.Leases))
	}
	if q.History != "" {
		response.History = m.History(prefixOf(q.History))
	}
	if q.Values != "" {
		response.Values = m.Values(prefixOf(q.Values))
	}
	if q.Changes != "" {
		var retained bool
		response.Changes, retained = m.Changes(q.After, prefixOf(q.Changes))
		response.Compacted = !retained
	}
	return response
}

// prefixOf returns the prefix of a pattern; the pattern "*" has the empty prefix.
func prefixOf(pattern string) string { return strings.TrimSuffix(pattern, "*") }

func (n *Node) handleSnapshot(w http.ResponseWriter, r *http.Request) {
	if _, ok := n.decodeRequest(w, r); !ok {
		return
	}
	var raw []byte
	if n.readState(w, r, func(m *coord.Machine) { raw = m.Snapshot() }) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(raw) // fails only if the caller has disconnected
	}
}

func (n *Node) handleWait(w http.ResponseWriter, r *http.Request) {
	request, ok := n.decodeRequest(w, r)
	if !ok {
		return
	}
	if request.Wait == nil {
		writeError(w, http.StatusBadRequest, "wait: missing")
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), hintTimeout)
	defer stop()
	var hints chan struct{}
	leading := false
	n.do(ctx, func() {
		if leading, _ = n.core.Leadership(); leading {
			hints = n.hintChannel(request.Wait.Session)
		}
	})
	if !leading {
		n.writeNotLeader(ctx, w)
		return
	}
	select {
	case <-hints:
		writeJSON(w, http.StatusOK, api.Response{Hint: true})
	case <-ctx.Done():
		writeJSON(w, http.StatusOK, api.Response{})
	case <-n.done:
		writeError(w, http.StatusServiceUnavailable, stopping)
	}
}

func (n *Node) handleStatus(w http.ResponseWriter, r *http.Request) {
	status := api.Status{Cluster: n.identity.Cluster}
	if !n.do(r.Context(), func() {
		machine := n.core.Machine()
		status.Member, status.Members, status.Counts = n.core.Status(), machine.Members(), machine.Counts()
	}) {
		writeError(w, http.StatusServiceUnavailable, stopping)
		return
	}
	writeJSON(w, http.StatusOK, status)
}
