package faults

import (
	"fmt"
	"slices"
	"time"
)

// Pause is a time in which a relay stood still.
type Pause struct {
	Relay    string
	From, To time.Duration
}

// Violation is a broken promise.
type Violation struct {
	Check  string `json:"check"` // overlap, token, unpaused, idle, process
	Detail string `json:"what"`
}

// Check judges what the resource has written down. It knows nothing of leases but their promises:
// accepted acts of two holders never overlap (overlap); accepted acts go by growing tokens, and a token is one relay's (token);
// acts never overlap, accepted or not, where neither relay stood still from shortly before to its end (unpaused).
func Check(acts []Execution, pauses []Pause) (faults []Violation) {
	add := func(check, format string, args ...any) {
		faults = append(faults, Violation{check, fmt.Sprintf(format, args...)})
	}
	acts = slices.Clone(acts)
	slices.SortStableFunc(acts, func(a, b Execution) int { return int(a.Begin - b.Begin) })
	owner := map[uint64]string{}
	var open []Execution // that had not ended when the one before began
	highest := uint64(0)
	for _, a := range acts {
		if by, ok := owner[a.Token]; ok && by != a.Relay {
			add("token", "token %d: of %s, and of %s from %v on", a.Token, by, a.Relay, a.Begin)
		}
		owner[a.Token] = a.Relay
		open = slices.DeleteFunc(open, func(b Execution) bool { return b.End <= a.Begin })
		for _, b := range open {
			if b.Token == a.Token {
				continue
			}
			if a.Accepted && b.Accepted {
				add("overlap", "%s under %d from %v to %v, and %s under %d from %v to %v, both accepted", b.Relay, b.Token, b.Begin, b.End, a.Relay,
					a.Token, a.Begin, a.End)
			}
			if !still(pauses, a) && !still(pauses, b) {
				add("unpaused", "%s under %d from %v to %v, and %s under %d from %v to %v, and neither stood still", b.Relay, b.Token, b.Begin, b.End,
					a.Relay, a.Token, a.Begin, a.End)
			}
		}
		open = append(open, a)
		if a.Accepted {
			if a.Token < highest {
				add("token", "%s under %d at %v, accepted after %d", a.Relay, a.Token, a.Begin, highest)
			}
			highest = a.Token
		}
	}
	return faults
}

// before an act a pause counts that ended so long before: a signal takes a while to hold all of a process.
const before = 100 * time.Millisecond

// still tells whether an act's relay stood still in it, or right before.
func still(pauses []Pause, a Execution) bool {
	return slices.ContainsFunc(pauses, func(p Pause) bool {
		return p.Relay == a.Relay && p.From < a.End && p.To > a.Begin-before
	})
}
