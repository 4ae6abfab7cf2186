package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"frostlink/internal/coord/api"
)

const (
	// requestTimeout bounds a command, read or membership change. After this time, the answer is
	// that the outcome is unknown.
	requestTimeout = 5 * time.Second
	// hintTimeout bounds a call that waits for a hint.
	hintTimeout = 10 * time.Second
	// maxRequestSize bounds the body of a client's request, in bytes.
	maxRequestSize = 1 << 20
)

// stopping is the error message of a node that has stopped.
const stopping = "this member ends"

// Handler returns the handler for clients, operators and other members.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathRaft, n.handleRaft)
	mux.HandleFunc("POST "+api.PathCommand, n.handleCommand)
	mux.HandleFunc("POST "+api.PathRead, n.handleRead)
	mux.HandleFunc("POST "+api.PathWait, n.handleWait)
	mux.HandleFunc("POST "+api.PathMembers, n.handleMembers)
	mux.HandleFunc("POST "+api.PathSnapshot, n.handleSnapshot)
	mux.HandleFunc("GET "+api.PathStatus, n.handleStatus)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, api.Response{Error: message})
}

// decodeRequest decodes a request's body and checks its cluster. If it reports false, it has
// already answered the caller with the error.
func (n *Node) decodeRequest(w http.ResponseWriter, r *http.Request) (api.Request, bool) {
	var request api.Request
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestSize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return request, false
	}
	if request.Cluster != n.identity.Cluster {
		writeError(w, http.StatusConflict,
			"this is a member of cluster \""+n.identity.Cluster+"\", not of \""+request.Cluster+"\"")
		return request, false
	}
	return request, true
}

// writeNotLeader answers that this member is not the leader, and names the leader if it is known.
func (n *Node) writeNotLeader(ctx context.Context, w http.ResponseWriter) {
	response := api.Response{Error: "this member does not lead"}
	n.do(ctx, func() {
		if leading, leader := n.core.Leadership(); !leading {
			response.Leader = leader
		}
		for _, m := range n.core.Machine().Members() {
			if m.ID == response.Leader {
				response.Address = m.Address
			}
		}
	})
	writeJSON(w, http.StatusMisdirectedRequest, response)
}
