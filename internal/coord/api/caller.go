package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Caller calls the members of a cluster.
type Caller struct {
	Cluster    string
	HTTPClient *http.Client
	// MaxReplySize bounds the body of a reply, in bytes. A longer reply is an error.
	MaxReplySize int64
	// MaxReplyObjects bounds the JSON objects in a reply, each of which takes many times its text once it is decoded; 0: no bound. A reply
	// with more is an error.
	MaxReplyObjects int
}

// NewCaller returns a caller. Each of its calls has a connection of its own: nothing in a response names its request, so that on a
// connection that is used again a second response to an earlier call could grant a lease that another relay holds.
func NewCaller(cluster string) *Caller {
	transport := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: MaxHeaderSize}
	return &Caller{Cluster: cluster, HTTPClient: &http.Client{Transport: transport}, MaxReplySize: MaxBodySize}
}

// Post sends a request to a member. If the error is ErrNotLeader, the response may name the leader.
func (c *Caller) Post(ctx context.Context, address, path string, r Request) (Response, error) {
	var response Response
	status, body, err := c.post(ctx, address, path, r)
	if err != nil {
		return response, err
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return response, fmt.Errorf("%s: response is not from a coordination service: %w", address, err)
	}
	switch {
	case status == http.StatusOK:
		return response, nil
	case status == http.StatusMisdirectedRequest:
		return response, ErrNotLeader
	case status/100 == 4:
		return response, fmt.Errorf("%s: %w: %s", address, ErrRejected, response.Error)
	}
	return response, &StatusError{Address: address, Status: status, Message: response.Error}
}

// Snapshot reads the encoded state (coord.Machine.Snapshot) from a member. It returns ErrNotLeader
// if the member is not the leader.
func (c *Caller) Snapshot(ctx context.Context, address string) ([]byte, error) {
	status, body, err := c.post(ctx, address, PathSnapshot, Request{})
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusMisdirectedRequest:
		return nil, ErrNotLeader
	case status != http.StatusOK:
		return nil, &StatusError{Address: address, Status: status, Message: strings.TrimSpace(string(body))}
	}
	return body, nil
}

// Status reads a member's status.
func (c *Caller) Status(ctx context.Context, address string) (Status, error) {
	var s Status
	status, body, err := c.do(ctx, http.MethodGet, address, PathStatus, nil)
	if err != nil {
		return s, err
	}
	if status != http.StatusOK || json.Unmarshal(body, &s) != nil {
		return s, fmt.Errorf("%s: response is not from a coordination service (status %d)", address, status)
	}
	return s, nil
}

// post sends a request with the caller's cluster, and returns the response's status and body.
func (c *Caller) post(ctx context.Context, address, path string, r Request) (int, []byte, error) {
	r.Cluster = c.Cluster
	raw, err := json.Marshal(r)
	if err != nil {
		return 0, nil, &CallError{Address: address, Err: err}
	}
	return c.do(ctx, http.MethodPost, address, path, raw)
}

func (c *Caller) do(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, &CallError{Address: address, Err: err}
	}
	resp, err := c.HTTPClient.Do(req)
	if err != nil {
		return 0, nil, &CallError{Address: address, Err: err}
	}
	defer func() { _ = resp.Body.Close() }() // an error is harmless: the body is not read any further
	raw, err := io.ReadAll(io.LimitReader(resp.Body, c.MaxReplySize+1))
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", address, err)
	}
	if int64(len(raw)) > c.MaxReplySize || c.MaxReplyObjects > 0 && bytes.Count(raw, []byte("{")) > c.MaxReplyObjects {
		return 0, nil, fmt.Errorf("%s: %w", address, ErrReplyTooLarge)
	}
	return resp.StatusCode, raw, nil
}
