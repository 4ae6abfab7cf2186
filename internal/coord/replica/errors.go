package replica

import (
	"errors"
	"fmt"
)

// ErrNotLeader is returned by proposals to a member that does not lead.
var ErrNotLeader = errors.New("this member does not lead")

// StaleDiskError says that a member's disk lacks an incarnation that another member knows: the disk
// was lost or set back, and the member has forgotten what it promised.
type StaleDiskError struct {
	Peer  uint64 // the member that knows the other incarnation
	Known uint64 // the number of that incarnation
	Own   uint64 // the number of this member's incarnation
}

func (e *StaleDiskError) Error() string {
	return fmt.Sprintf("this member's disk is old or was lost: member %d knows its life %d, and this is life %d of the disk; "+
		"remove it, and let a new one join under another id", e.Peer, e.Known, e.Own)
}

// NotCaughtUpError says that a learner lacks too much of the log to become a voter.
type NotCaughtUpError struct{ Member uint64 }

func (e *NotCaughtUpError) Error() string {
	return fmt.Sprintf("member %d has not caught up with the log yet", e.Member)
}

// ProposalError says that the Raft library did not accept a change of members.
type ProposalError struct{ Err error }

func (e *ProposalError) Error() string { return e.Err.Error() }

// Unwrap returns the library's error.
func (e *ProposalError) Unwrap() error { return e.Err }

// ClusterError says that a snapshot is another cluster's.
type ClusterError struct{ Snapshot, Own string }

func (e *ClusterError) Error() string {
	return fmt.Sprintf("snapshot: of cluster %q, not %q", e.Snapshot, e.Own)
}
