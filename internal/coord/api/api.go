// Package api is what the coordination service and those who call it say to one another over HTTP: the paths, the
// bodies (JSON) and a caller. Every body names the cluster, so that a caller of another one is refused.
package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"frostlink/internal/coord"
)

// The paths. Another version of the service has others.
const (
	PathCommand  = "/v1/command"  // POST Command: Answer
	PathRead     = "/v1/read"     // POST Query: Answer
	PathWait     = "/v1/wait"     // POST Wait: Answer, once something became of a session
	PathMembers  = "/v1/members"  // POST Change: Answer
	PathStatus   = "/v1/status"   // GET: Status of the member that is asked
	PathSnapshot = "/v1/snapshot" // POST Query: the state's bytes
	PathRaft     = "/v1/raft"     // POST: envelopes of other members
)

// MostBody is the longest body that is read, in bytes.
const MostBody = 64 << 20

// Request is the body of every POST of a client.
type Request struct {
	Cluster string         `json:"cluster"`
	Command *coord.Command `json:"command,omitempty"`
	Query   *Query         `json:"query,omitempty"`
	Wait    *Wait          `json:"wait,omitempty"`
	Join    *coord.Member  `json:"join,omitempty"`  // a learner, or one that gets its vote
	Leave   uint64         `json:"leave,omitempty"` // a member's id
}

// Query says what is read. The answer is no older than the call.
type Query struct {
	Leases  string `json:"leases,omitempty"`  // names with this prefix; "*": all
	History string `json:"history,omitempty"` // of a lease; "*": of all
	Values  string `json:"values,omitempty"`  // keys with this prefix; "*": all
	Changes string `json:"changes,omitempty"` // to keys with this prefix; "*": to all
	After   uint64 `json:"after,omitempty"`   // revision, for Changes
}

// Wait says whose hints are waited for.
type Wait struct {
	Session uint64 `json:"session"`
}

// Answer is the body of every answer but a status and a snapshot.
type Answer struct {
	Error   string         `json:"error,omitempty"`
	Leader  uint64         `json:"leader,omitempty"`  // with a status of 421: the member to call instead, if one is known
	Address string         `json:"address,omitempty"` // and where it is
	Result  *coord.Result  `json:"result,omitempty"`  // of a command
	Hint    bool           `json:"hint,omitempty"`    // of a wait
	Leases  []coord.Lease  `json:"leases,omitempty"`  // of a query, and the rest
	History []coord.Event  `json:"history,omitempty"` //
	Values  []coord.Value  `json:"values,omitempty"`  //
	Changes []coord.Change `json:"changes,omitempty"` //
	Gone    bool           `json:"gone,omitempty"`    // changes from so long ago are not kept: read the values anew
	At      uint64         `json:"at,omitempty"`      // revision of the state that was read
}

// Status is how a member is, as it sees itself.
type Status struct {
	Cluster string         `json:"cluster"`
	Member  coord.Status   `json:"member"`
	Members []coord.Member `json:"members"`
	Counts  coord.Counts   `json:"counts"`
}

// The errors that callers tell apart. Any other means that it is not known whether a command was applied.
var (
	ErrNotLeader = errors.New("the member does not lead")
	ErrRefused   = errors.New("refused") // nothing was done, and it won't help to come again
)

// Caller calls the members of a cluster.
type Caller struct {
	Cluster string
	Client  *http.Client
}

// NewCaller makes a caller whose connections live as long as it.
func NewCaller(cluster string) *Caller {
	return &Caller{Cluster: cluster, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}}
}

// Post sends a request to a member. With ErrNotLeader the answer may name who leads.
func (c *Caller) Post(ctx context.Context, address, path string, r Request) (Answer, error) {
	var a Answer
	r.Cluster = c.Cluster
	raw, err := json.Marshal(r)
	if err != nil {
		return a, err
	}
	status, body, err := c.call(ctx, http.MethodPost, address, path, raw)
	if err != nil {
		return a, err
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return a, fmt.Errorf("%s: no answer of a coordination service: %w", address, err)
	}
	switch {
	case status == http.StatusOK:
		return a, nil
	case status == http.StatusMisdirectedRequest:
		return a, ErrNotLeader
	case status/100 == 4:
		return a, fmt.Errorf("%s: %w: %s", address, ErrRefused, a.Error)
	}
	return a, fmt.Errorf("%s: status %d: %s", address, status, a.Error)
}

// Snapshot reads the state's bytes from a member that leads.
func (c *Caller) Snapshot(ctx context.Context, address string) ([]byte, error) {
	raw, err := json.Marshal(Request{Cluster: c.Cluster})
	if err != nil {
		return nil, err
	}
	status, body, err := c.call(ctx, http.MethodPost, address, PathSnapshot, raw)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusMisdirectedRequest:
		return nil, ErrNotLeader
	case status != http.StatusOK:
		return nil, fmt.Errorf("%s: status %d: %s", address, status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// Status asks a member how it is.
func (c *Caller) Status(ctx context.Context, address string) (Status, error) {
	var s Status
	status, body, err := c.call(ctx, http.MethodGet, address, PathStatus, nil)
	if err != nil {
		return s, err
	}
	if status != http.StatusOK || json.Unmarshal(body, &s) != nil {
		return s, fmt.Errorf("%s: no answer of a coordination service (status %d)", address, status)
	}
	return s, nil
}

func (c *Caller) call(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, MostBody))
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", address, err)
	}
	return resp.StatusCode, raw, nil
}

// ParseMember reads "ID=HOST:PORT".
func ParseMember(text string) (coord.Member, error) {
	id, address, ok := strings.Cut(text, "=")
	n, err := strconv.ParseUint(id, 10, 64)
	if !ok || err != nil || n == 0 {
		return coord.Member{}, fmt.Errorf("%q is not ID=HOST:PORT with an id from 1", text)
	}
	if _, port, found := strings.Cut(address, ":"); !found || port == "" {
		return coord.Member{}, fmt.Errorf("%q is not ID=HOST:PORT", text)
	}
	return coord.Member{ID: n, Address: address}, nil
}

// ParseMembers reads a list of them, each id and address once.
func ParseMembers(texts []string) ([]coord.Member, error) {
	var list []coord.Member
	for _, text := range texts {
		m, err := ParseMember(text)
		if err != nil {
			return nil, err
		}
		for _, other := range list {
			if other.ID == m.ID || other.Address == m.Address {
				return nil, fmt.Errorf("%q: its id or address is in the list already", text)
			}
		}
		list = append(list, m)
	}
	return list, nil
}

// Learn adds the member that an answer names as the one that leads, where it is not known yet: it has joined since the list was
// written. One that is known keeps its address: the list may name another way to it.
func Learn(members []coord.Member, a Answer) []coord.Member {
	known := func(m coord.Member) bool { return m.ID == a.Leader }
	if a.Leader == 0 || a.Address == "" || len(members) >= 4*coord.MaxMembers || slices.ContainsFunc(members, known) {
		return members
	}
	return append(slices.Clone(members), coord.Member{ID: a.Leader, Address: a.Address})
}

// ErrNoLeader is the end of a call to a cluster of which no member was found to lead.
var ErrNoLeader = errors.New("no member leads, or none that leads can be reached")

// Lead sends a request to the member that leads, wherever that is, until the context ends. Only requests that may
// come twice are to be sent with it.
func (c *Caller) Lead(ctx context.Context, members []coord.Member, path string, r Request) (Answer, error) {
	var last error
	for turn := 0; len(members) > 0; turn++ {
		m := members[turn%len(members)]
		within, stop := context.WithTimeout(ctx, 2*time.Second)
		a, err := c.Post(within, m.Address, path, r)
		stop()
		if err == nil || errors.Is(err, ErrRefused) {
			return a, err
		}
		last = fmt.Errorf("member %d: %w", m.ID, err)
		if errors.Is(err, ErrNotLeader) {
			members = Learn(members, a)
		}
		for i, other := range members {
			if errors.Is(err, ErrNotLeader) && other.ID == a.Leader {
				turn = i - 1
			}
		}
		select {
		case <-ctx.Done():
			return Answer{}, fmt.Errorf("%w: %w", ErrNoLeader, last)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return Answer{}, ErrNoLeader
}
