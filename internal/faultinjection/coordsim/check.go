package coordsim

import "fmt"

// The checks, as violations name them.
const (
	checkOverlap         = "overlap" // executions of two holders of a lease never overlap in true time
	checkToken           = "token"   // tokens of a lease never decrease, and a token is of one grant
	checkQueue           = "queue"   // nobody who asked later is granted a lease while a client waits
	checkLinearizability = "linear"  // values are linearizable
	checkHeld            = "held"    // after the quiet period every lease is held
	checkSame            = "same"    // members with the same entries have the same state
	checkMembers         = "members" // a replacement that was begun is done by the end
	checkDisk            = "disk"    // a disk that was rolled back is noticed
	checkStart           = "start"   // a member can start from its disk
	checkPanic           = "panic"   // nothing panics
)

// maxViolations bounds how many violations of a run are reported.
const maxViolations = 20

// Violation is a check that failed.
type Violation struct {
	Check  string `json:"check"`
	Detail string `json:"what"`
}

// report reports a violation.
func (s *simulation) report(check, format string, args ...any) {
	if len(s.violations) < maxViolations {
		s.violations = append(s.violations, Violation{check, fmt.Sprintf(format, args...)})
	}
}

// check makes the checks of a run that has ended. Others were made while it was played.
func (s *simulation) check() {
	s.checkExecutions()
	s.checkGrants()
	s.checkValues()
	s.checkLeasesHeld()
	s.checkMemberStates()
	s.checkReplacement()
}
