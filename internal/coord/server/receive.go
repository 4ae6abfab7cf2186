package server

import (
	"errors"
	"io"
	"net/http"

	"frostlink/internal/coord/api"
	"frostlink/internal/coord/replica"
	"frostlink/internal/logkey"
)

// handleRaft receives messages from other members. If one message is malformed or of another cluster
// or version, the whole body is rejected, with one line in the log.
func (n *Node) handleRaft(w http.ResponseWriter, r *http.Request) {
	envelopes, err := n.decodeEnvelopes(w, r)
	if err != nil {
		n.log.Warn("messages rejected", logkey.Address, r.RemoteAddr, logkey.Err, err)
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !n.do(r.Context(), func() {
		for _, e := range envelopes {
			n.core.Receive(e)
		}
	}) {
		writeError(w, http.StatusServiceUnavailable, stopping)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) decodeEnvelopes(w http.ResponseWriter, r *http.Request) ([]replica.Envelope, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxBodySize))
	if err != nil {
		return nil, err //nolint:wrapcheck // the text is sent as the answer, and describes the error
	}
	envelopes, err := decodeFrames(body)
	if err != nil {
		return nil, err
	}
	for _, e := range envelopes {
		if e.Cluster != n.identity.Cluster {
			return nil, errors.New("a member of cluster \"" + e.Cluster + "\" calls a member of \"" + n.identity.Cluster + "\"")
		}
	}
	return envelopes, nil
}
