package coordsim

import "fmt"

// The names of the checks in violations. The comment of each name states the condition that the check requires.
const (
	checkOverlap         = "overlap" // executions under two tokens of a lease never overlap in true time
	checkToken           = "token"   // the tokens of executions under a lease never decrease, and no two grants have the same token
	checkQueue           = "queue"   // while a client waits for a lease, no client that requested it later gets it
	checkLinearizability = "linear"  // the writes and reads of values are linearizable
	checkHeld            = "held"    // after the quiet period every lease is held by exactly one client
	checkSame            = "same"    // members that have applied the same entries have the same state, also after a restore from a snapshot
	checkMembers         = "members" // a replacement of a member that has begun is complete at the end
	checkDisk            = "disk"    // a member whose disk was rolled back terminates
	checkStart           = "start"   // a member can start from its disk
	checkPanic           = "panic"   // no event panics
)

// maxViolations bounds the number of violations that are reported for a run.
const maxViolations = 20

// Violation is a check that failed.
type Violation struct {
	Check  string `json:"check"`
	Detail string `json:"what"`
}

// report records a violation of a check.
func (s *simulation) report(check, format string, args ...any) {
	if len(s.violations) < maxViolations {
		s.violations = append(s.violations, Violation{check, fmt.Sprintf(format, args...)})
	}
}

// check makes the checks at the end of a run. The checks of the queue, the disk, starts and panics are made during the run.
func (s *simulation) check() {
	s.checkExecutions()
	s.checkGrants()
	s.checkValues()
	s.checkLeasesHeld()
	s.checkMemberStates()
	s.checkReplacement()
}
