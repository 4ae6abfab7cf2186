package faults

import (
	"fmt"
	"slices"
	"time"
)

// Check is the name of a check that every run has to pass.
type Check string

// The checks.
const (
	CheckOverlap  Check = "overlap"  // accepted executions under two tokens never overlap
	CheckToken    Check = "token"    // the tokens of accepted executions never decrease, and a token belongs to one relay
	CheckUnpaused Check = "unpaused" // executions under two tokens, accepted or not, overlap only if one of the two relays was paused
	CheckIdle     Check = "idle"     // some relay sends requests to the resource at the end of a run
	CheckProcess  Check = "process"  // no process exits unexpectedly, and all can be started and killed
)

// Violation is a check that failed.
type Violation struct {
	Check  Check  `json:"check"`
	Detail string `json:"what"`
}

// Pause is a period in which a relay was suspended.
type Pause struct {
	Relay    string
	From, To time.Duration
}

// pauseLag is the longest time from the end of a pause to the start of an execution for which the relay still counts as paused
// during the execution, because SIGCONT does not resume all threads of a process at once.
const pauseLag = 100 * time.Millisecond

// CheckExecutions applies CheckOverlap, CheckToken and CheckUnpaused to the executions that a resource recorded.
func CheckExecutions(executions []Execution, pauses []Pause) []Violation {
	executions = slices.Clone(executions)
	slices.SortStableFunc(executions, func(a, b Execution) int { return int(a.Begin - b.Begin) })
	c := &executionChecker{pauses: pauses, ownerOf: map[uint64]string{}}
	for _, e := range executions {
		c.add(e)
	}
	return c.violations
}

// executionChecker checks executions one by one, in the order of their start.
type executionChecker struct {
	pauses          []Pause
	ownerOf         map[uint64]string // the relay that used a token last
	open            []Execution       // executions that had not ended when the last execution began
	highestAccepted uint64            // token of the last accepted execution
	violations      []Violation
}

func (c *executionChecker) add(e Execution) {
	c.checkOwner(e)
	c.open = slices.DeleteFunc(c.open, func(earlier Execution) bool { return earlier.End <= e.Begin })
	for _, earlier := range c.open {
		if earlier.Token != e.Token {
			c.checkOverlap(earlier, e)
			c.checkUnpaused(earlier, e)
		}
	}
	c.open = append(c.open, e)
	c.checkOrder(e)
}

// checkOwner checks that only one relay uses a token.
func (c *executionChecker) checkOwner(e Execution) {
	if owner, ok := c.ownerOf[e.Token]; ok && owner != e.Relay {
		c.report(CheckToken, "token %d: used by %s, and by %s from %v on", e.Token, owner, e.Relay, e.Begin)
	}
	c.ownerOf[e.Token] = e.Relay
}

// checkOverlap checks that two overlapping executions under two tokens were not both accepted.
func (c *executionChecker) checkOverlap(earlier, later Execution) {
	if earlier.Accepted && later.Accepted {
		c.report(CheckOverlap, "overlapping executions were both accepted: %v, and %v", earlier, later)
	}
}

// checkUnpaused checks that, of two overlapping executions under two tokens, at least one was by a paused relay.
func (c *executionChecker) checkUnpaused(earlier, later Execution) {
	if !c.wasPaused(earlier) && !c.wasPaused(later) {
		c.report(CheckUnpaused, "executions overlap, and neither relay was paused: %v, and %v", earlier, later)
	}
}

// checkOrder checks that the tokens of accepted executions never decrease.
func (c *executionChecker) checkOrder(e Execution) {
	if !e.Accepted {
		return
	}
	if e.Token < c.highestAccepted {
		c.report(CheckToken, "%s under token %d at %v was accepted after token %d", e.Relay, e.Token, e.Begin, c.highestAccepted)
	}
	c.highestAccepted = e.Token
}

// wasPaused reports whether an execution's relay was paused during the execution, or up to pauseLag before it.
func (c *executionChecker) wasPaused(e Execution) bool {
	return slices.ContainsFunc(c.pauses, func(p Pause) bool {
		return p.Relay == e.Relay && p.From < e.End && p.To > e.Begin-pauseLag
	})
}

func (c *executionChecker) report(check Check, format string, args ...any) {
	c.violations = append(c.violations, Violation{check, fmt.Sprintf(format, args...)})
}

// String describes the execution for the text of a violation.
func (e Execution) String() string {
	return fmt.Sprintf("%s under token %d from %v to %v", e.Relay, e.Token, e.Begin, e.End)
}
