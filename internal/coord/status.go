package coord

// Peer is what a leader knows of another member, and any member of who knows its life.
type Peer struct {
	ID      uint64 `json:"id"`
	Reached bool   `json:"reached"`           // has this member's life on disk
	Match   uint64 `json:"match,omitempty"`   // of a leader: the last entry that it is known to have
	Active  bool   `json:"active,omitempty"`  // of a leader: was heard of late
	Learner bool   `json:"learner,omitempty"` // has no vote
}

// Status is a member's state, for people.
type Status struct {
	ID       uint64 `json:"id"`
	Life     uint64 `json:"life"`
	Role     string `json:"role"` // leader, follower, candidate, unannounced, failed
	Why      string `json:"why,omitempty"`
	Leader   uint64 `json:"leader"` // 0: none known
	Term     uint64 `json:"term"`
	Applied  uint64 `json:"applied"`
	Commit   uint64 `json:"commit"`
	Snapshot uint64 `json:"snapshot"` // index of the last one
	Peers    []Peer `json:"peers"`
}
