package faults

import (
	"fmt"
	"slices"
	"time"
)

// Check names what a run is checked for.
type Check string

// The checks.
const (
	CheckOverlap  Check = "overlap"  // accepted executions under two tokens never overlap
	CheckToken    Check = "token"    // the tokens of accepted executions never decrease, and a token belongs to one relay
	CheckUnpaused Check = "unpaused" // executions never overlap at all, accepted or not, where neither relay was paused
	CheckIdle     Check = "idle"     // some relay acts at the end of a run
	CheckProcess  Check = "process"  // no process exits by itself
)

// Violation is a check that failed.
type Violation struct {
	Check  Check  `json:"check"`
	Detail string `json:"what"`
}

// Pause is a time in which a relay was suspended.
type Pause struct {
	Relay    string
	From, To time.Duration
}

// pauseLag is how long before an execution a pause may have ended that counts for it: a signal takes a while to reach all of a
// process.
const pauseLag = 100 * time.Millisecond

// CheckExecutions checks what a resource recorded: overlap, token and unpaused.
func CheckExecutions(executions []Execution, pauses []Pause) []Violation {
	executions = slices.Clone(executions)
	slices.SortStableFunc(executions, func(a, b Execution) int { return int(a.Begin - b.Begin) })
	c := &executionChecker{pauses: pauses, ownerOf: map[uint64]string{}}
	for _, e := range executions {
		c.add(e)
	}
	return c.violations
}

// executionChecker checks executions one by one, by their begin.
type executionChecker struct {
	pauses          []Pause
	ownerOf         map[uint64]string // the relay that used a token last
	open            []Execution       // those that had not ended when the last one began
	highestAccepted uint64            // token of the last accepted one
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

// checkOwner checks that a token belongs to one relay.
func (c *executionChecker) checkOwner(e Execution) {
	if owner, ok := c.ownerOf[e.Token]; ok && owner != e.Relay {
		c.report(CheckToken, "token %d: of %s, and of %s from %v on", e.Token, owner, e.Relay, e.Begin)
	}
	c.ownerOf[e.Token] = e.Relay
}

// checkOverlap checks that of two executions at one time, under two tokens, not both were accepted.
func (c *executionChecker) checkOverlap(earlier, later Execution) {
	if earlier.Accepted && later.Accepted {
		c.report(CheckOverlap, "%v, and %v, both accepted", earlier, later)
	}
}

// checkUnpaused checks that of two executions at one time, under two tokens, one was of a relay that was paused.
func (c *executionChecker) checkUnpaused(earlier, later Execution) {
	if !c.wasPaused(earlier) && !c.wasPaused(later) {
		c.report(CheckUnpaused, "%v, and %v, and neither stood still", earlier, later)
	}
}

// checkOrder checks that the tokens of accepted executions never decrease.
func (c *executionChecker) checkOrder(e Execution) {
	if !e.Accepted {
		return
	}
	if e.Token < c.highestAccepted {
		c.report(CheckToken, "%s under %d at %v, accepted after %d", e.Relay, e.Token, e.Begin, c.highestAccepted)
	}
	c.highestAccepted = e.Token
}

// wasPaused reports whether an execution's relay was paused in it, or right before.
func (c *executionChecker) wasPaused(e Execution) bool {
	return slices.ContainsFunc(c.pauses, func(p Pause) bool {
		return p.Relay == e.Relay && p.From < e.End && p.To > e.Begin-pauseLag
	})
}

func (c *executionChecker) report(check Check, format string, args ...any) {
	c.violations = append(c.violations, Violation{check, fmt.Sprintf(format, args...)})
}

// String describes an execution in a violation.
func (e Execution) String() string {
	return fmt.Sprintf("%s under %d from %v to %v", e.Relay, e.Token, e.Begin, e.End)
}
