package coord

// Role is what a member does at present.
type Role string

// The roles of a member.
const (
	RoleLeader      Role = "leader"
	RoleFollower    Role = "follower"
	RoleCandidate   Role = "candidate"   // it knows no leader
	RoleUnannounced Role = "unannounced" // it takes no part yet: too few other members know its incarnation
	RoleFailed      Role = "failed"      // it has stopped for good; Detail says why
)

// Peer is what a member knows of another one.
type Peer struct {
	ID           uint64 `json:"id"`
	Acknowledged bool   `json:"reached"`           // it has this member's incarnation on disk
	Match        uint64 `json:"match,omitempty"`   // at a leader: the last entry that it is known to have
	Active       bool   `json:"active,omitempty"`  // at a leader: it has answered lately
	Learner      bool   `json:"learner,omitempty"` // it has no vote
}

// Status is a member's state, for people.
type Status struct {
	ID          uint64 `json:"id"`
	Incarnation uint64 `json:"life"`
	Role        Role   `json:"role"`
	Detail      string `json:"why,omitempty"`
	Leader      uint64 `json:"leader"` // 0: none known
	Term        uint64 `json:"term"`
	Applied     uint64 `json:"applied"`
	Committed   uint64 `json:"commit"`
	Snapshot    uint64 `json:"snapshot"` // index of the last one
	Peers       []Peer `json:"peers"`
}
