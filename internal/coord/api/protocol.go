package api

import "frostlink/internal/coord"

// The paths. A later, incompatible version of the service uses other paths.
const (
	PathCommand  = "/v1/command"
	PathRead     = "/v1/read"
	PathWait     = "/v1/wait"
	PathMembers  = "/v1/members"
	PathStatus   = "/v1/status"
	PathSnapshot = "/v1/snapshot"
	PathRaft     = "/v1/raft"
)

// MaxHeaderSize bounds the headers of responses, in bytes.
const MaxHeaderSize = 8 << 10

// MaxBodySize bounds the bodies that are read from a member, in bytes.
const MaxBodySize = 64 << 20

// Request is the body of every POST from a client.
type Request struct {
	Cluster      string         `json:"cluster"`
	Command      *coord.Command `json:"command,omitempty"`
	Query        *Query         `json:"query,omitempty"`
	Wait         *Wait          `json:"wait,omitempty"`
	AddMember    *coord.Member  `json:"join,omitempty"`  // a new learner, or a learner that becomes a voter
	RemoveMember uint64         `json:"leave,omitempty"` // id of the member to remove
}

// Query selects the data to read.
type Query struct {
	Leases  string `json:"leases,omitempty"`  // leases whose names have this prefix; "*": all
	History string `json:"history,omitempty"` // events of this lease; "*": of all leases
	Values  string `json:"values,omitempty"`  // values whose keys have this prefix; "*": all
	Changes string `json:"changes,omitempty"` // writes to keys with this prefix; "*": all writes
	After   uint64 `json:"after,omitempty"`   // Changes begin after this revision
}

// Wait selects the session whose hints the caller waits for.
type Wait struct {
	Session uint64 `json:"session"`
}

// Response is the body of every answer to a client, except successful answers of PathStatus and
// PathSnapshot.
type Response struct {
	Error   string        `json:"error,omitempty"`
	Leader  uint64        `json:"leader,omitempty"`  // with status 421: id of the leader, if it is known
	Address string        `json:"address,omitempty"` // of the leader
	Result  *coord.Result `json:"result,omitempty"`  // of a command
	Hint    bool          `json:"hint,omitempty"`    // PathWait: the session's leases have changed

	// The answer to a query.
	Leases    []coord.Lease  `json:"leases,omitempty"`
	History   []coord.Event  `json:"history,omitempty"`
	Values    []coord.Value  `json:"values,omitempty"`
	Changes   []coord.Change `json:"changes,omitempty"`
	Compacted bool           `json:"gone,omitempty"` // Changes can't be listed from After on: read the values again
	Revision  uint64         `json:"at,omitempty"`   // revision of the state that was read
}

// Status is a member's view of itself and of the cluster.
type Status struct {
	Cluster string         `json:"cluster"`
	Member  coord.Status   `json:"member"`
	Members []coord.Member `json:"members"`
	Counts  coord.Counts   `json:"counts"`
}
