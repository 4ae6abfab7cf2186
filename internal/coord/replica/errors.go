package replica

import (
	"errors"
	"fmt"
)

// ErrNotLeader is returned for a membership change that is proposed to a member that is not the
// leader.
var ErrNotLeader = errors.New("this member does not lead")

// StaleDiskError reports that this member's disk was lost or set back to an old copy: it lacks an
// incarnation of this member that another member has on disk, so it may also lack votes and entries
// that this member has acknowledged.
type StaleDiskError struct {
	Peer  uint64 // the member that has the missing incarnation on disk
	Known uint64 // number of the missing incarnation
	Own   uint64 // number of this member's present incarnation
}

func (e *StaleDiskError) Error() string {
	return fmt.Sprintf("this member's disk is old or was lost: member %d knows its life %d, and this is life %d of the disk; "+
		"remove it, and let a new one join under another id", e.Peer, e.Known, e.Own)
}

// NotCaughtUpError reports that a learner lags too far behind the log to become a voter.
type NotCaughtUpError struct{ Member uint64 }

func (e *NotCaughtUpError) Error() string {
	return fmt.Sprintf("member %d has not caught up with the log yet", e.Member)
}

// ProposalError reports that the Raft library rejected a membership change.
type ProposalError struct{ Err error }

func (e *ProposalError) Error() string { return e.Err.Error() }

// Unwrap returns the library's error.
func (e *ProposalError) Unwrap() error { return e.Err }

// ClusterError reports a snapshot of another cluster.
type ClusterError struct{ Snapshot, Own string }

func (e *ClusterError) Error() string {
	return fmt.Sprintf("snapshot: belongs to cluster %q, not %q", e.Snapshot, e.Own)
}
