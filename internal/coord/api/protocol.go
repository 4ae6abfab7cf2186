package api

import "frostlink/internal/coord"

// The paths. Another version of the service has others.
const (
	PathCommand  = "/v1/command"
	PathRead     = "/v1/read"
	PathWait     = "/v1/wait"
	PathMembers  = "/v1/members"
	PathStatus   = "/v1/status"
	PathSnapshot = "/v1/snapshot"
	PathRaft     = "/v1/raft"
)

// MaxBodySize bounds the bodies that are read from a member, in bytes.
const MaxBodySize = 64 << 20

// Request is the body of every POST of a client.
type Request struct {
	Cluster      string         `json:"cluster"`
	Command      *coord.Command `json:"command,omitempty"`
	Query        *Query         `json:"query,omitempty"`
	Wait         *Wait          `json:"wait,omitempty"`
	AddMember    *coord.Member  `json:"join,omitempty"`  // a learner, or one that is to become a voter
	RemoveMember uint64         `json:"leave,omitempty"` // a member's id
}

// Query says what is read.
type Query struct {
	Leases  string `json:"leases,omitempty"`  // those whose names have this prefix; "*": all
	History string `json:"history,omitempty"` // events of this lease; "*": of all
	Values  string `json:"values,omitempty"`  // those whose keys have this prefix; "*": all
	Changes string `json:"changes,omitempty"` // writes to keys with this prefix; "*": to all
	After   uint64 `json:"after,omitempty"`   // the revision after which Changes begin
}

// Wait says whose hints are waited for.
type Wait struct {
	Session uint64 `json:"session"`
}

// Response is the body of every answer but a status and a snapshot.
type Response struct {
	Error   string        `json:"error,omitempty"`
	Leader  uint64        `json:"leader,omitempty"`  // with status 421: the member to call instead, if it is known
	Address string        `json:"address,omitempty"` // of that member
	Result  *coord.Result `json:"result,omitempty"`  // of a command
	Hint    bool          `json:"hint,omitempty"`    // of a wait: something became of the session's leases

	// The answer to a query.
	Leases    []coord.Lease  `json:"leases,omitempty"`
	History   []coord.Event  `json:"history,omitempty"`
	Values    []coord.Value  `json:"values,omitempty"`
	Changes   []coord.Change `json:"changes,omitempty"`
	Compacted bool           `json:"gone,omitempty"` // the changes are not retained: the values have to be read again
	Revision  uint64         `json:"at,omitempty"`   // of the state that was read
}

// Status is a member's status, as it sees itself.
type Status struct {
	Cluster string         `json:"cluster"`
	Member  coord.Status   `json:"member"`
	Members []coord.Member `json:"members"`
	Counts  coord.Counts   `json:"counts"`
}
