package coord

// Role is a member's present role in the cluster.
type Role string

// The roles of a member.
const (
	RoleLeader      Role = "leader"
	RoleFollower    Role = "follower"
	RoleCandidate   Role = "candidate"   // has no known leader
	RoleUnannounced Role = "unannounced" // neither votes nor replicates yet: no majority of voters has its incarnation on disk
	RoleFailed      Role = "failed"      // has stopped for good; Detail gives the reason
)

// Peer is the status of another member, as seen by the member that reports it.
type Peer struct {
	ID           uint64 `json:"id"`
	Acknowledged bool   `json:"reached"`           // the peer has this member's incarnation on disk
	Match        uint64 `json:"match,omitempty"`   // reported by a leader: index of the last entry that the peer is known to have
	Active       bool   `json:"active,omitempty"`  // reported by a leader: the peer has answered recently
	Learner      bool   `json:"learner,omitempty"` // the peer has no vote
}

// Status is a member's status, for operators.
type Status struct {
	ID          uint64 `json:"id"`
	Incarnation uint64 `json:"life"`
	Role        Role   `json:"role"`
	Detail      string `json:"why,omitempty"`
	Leader      uint64 `json:"leader"` // 0: not known
	Term        uint64 `json:"term"`
	Applied     uint64 `json:"applied"`
	Committed   uint64 `json:"commit"`
	Snapshot    uint64 `json:"snapshot"` // index of the last snapshot
	Peers       []Peer `json:"peers"`
}
