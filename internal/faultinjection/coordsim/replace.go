package coordsim

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/replica"
)

// errRemoved is why a member that was removed does not come back.
var errRemoved = errors.New("removed")

// stepEvery is between an operator's tries to change the members.
const stepEvery = 200 * time.Millisecond

// replace has an operator put a new member in the place of one: of the one that is stopped for good, if there is one.
// It joins as a learner, the old one is removed, and the new one gets its vote. Once a run; it goes on in the calm, and
// has to be done by its end.
func (r *run) replace(old *member) {
	if r.counts["were replaced"] > 0 {
		return
	}
	r.counts["were replaced"]++
	if i := slices.IndexFunc(r.members, func(m *member) bool { return m.stopped != nil }); i >= 0 {
		old = r.members[i]
	}
	w := r.world
	r.nextID++
	joins := &member{
		process: process{number: len(r.members), rate: old.rate, zero: old.zero}, run: r, id: r.nextID, usual: old.usual, slow: old.usual,
		disk: replica.PersistentState{},
	}
	r.members = append(r.members, joins)
	joins.start()
	learner := coord.Member{ID: joins.id, Address: fmt.Sprint("m", joins.id), Learner: true}
	voter := learner
	voter.Learner = false
	steps := []struct {
		done func(m *coord.Machine) bool
		try  func(c *replica.Core) error
	}{
		{func(m *coord.Machine) bool { return m.HasMember(learner) || m.HasMember(voter) }, func(c *replica.Core) error { return c.AddMember(learner) }},
		{func(m *coord.Machine) bool { return !m.HasMemberID(old.id) }, func(c *replica.Core) error { return c.RemoveMember(old.id) }},
		{func(m *coord.Machine) bool { return m.HasMember(voter) }, func(c *replica.Core) error { return c.AddMember(voter) }},
	}
	var step func(n int)
	step = func(n int) {
		if n == len(steps) {
			r.replaced = true
			return
		}
		for _, m := range r.members {
			if !m.up || m.stopped != nil {
				continue
			}
			if steps[n].done(m.core.Machine()) {
				if n == 1 {
					old.crash()
					old.stopped = errRemoved
				}
				w.after(0, nil, func() { step(n + 1) })
				return
			}
			if m.leads() {
				w.after(0, &m.process, func() {
					_ = steps[n].try(m.core) // another try follows
					m.round()
				})
			}
		}
		w.after(stepEvery, nil, func() { step(n) })
	}
	step(0)
}

// checkReplaced: a change of members that was begun is done by the end of the calm.
func (r *run) checkReplaced() {
	if r.counts["were replaced"] > 0 && !r.replaced {
		r.fault("members", "a member was to be replaced, and is not after %v of calm", r.tail)
	}
}
