package coordsim

import (
	"errors"
	"slices"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/replica"
)

// errRemoved is why a member that was removed does not start again.
var errRemoved = errors.New("removed")

// replacementInterval is between an operator's attempts to change the members.
const replacementInterval = 200 * time.Millisecond

// replacementState says how far the replacement of a member is.
type replacementState int

const (
	notReplacing replacementState = iota
	replacing
	replaced
)

// replacement puts a new member in the place of an old one, as an operator does: the new one joins as a learner, the old one is
// removed, the new one gets its vote.
type replacement struct {
	sim     *simulation
	old     *member
	learner coord.Member
	voter   coord.Member
	step    int
}

// replacementSteps are the steps of a replacement. Each is attempted until some member has applied it.
var replacementSteps = []struct {
	isDone  func(r *replacement, m *coord.Machine) bool
	attempt func(r *replacement, c *replica.Core) error
	finish  func(r *replacement)
}{
	{
		func(r *replacement, m *coord.Machine) bool { return m.HasMember(r.learner) || m.HasMember(r.voter) },
		func(r *replacement, c *replica.Core) error { return c.AddMember(r.learner) },
		func(*replacement) {},
	},
	{
		func(r *replacement, m *coord.Machine) bool { return !m.HasMemberID(r.old.id) },
		func(r *replacement, c *replica.Core) error { return c.RemoveMember(r.old.id) },
		(*replacement).endOldMember,
	},
	{
		func(r *replacement, m *coord.Machine) bool { return m.HasMember(r.voter) },
		func(r *replacement, c *replica.Core) error { return c.AddMember(r.voter) },
		func(*replacement) {},
	},
}

// replaceMember replaces a member: the one that has ended for good, if there is one. Once a run. It goes on in the quiet period, and
// has to be done by its end.
func (s *simulation) replaceMember(t target) {
	if s.replacement != notReplacing {
		return
	}
	s.replacement = replacing
	s.counts[memberToReplace]++
	old := t.member
	if i := slices.IndexFunc(s.members, func(m *member) bool { return m.terminated != nil }); i >= 0 {
		old = s.members[i]
	}
	s.lastMemberID++
	joining := &member{
		process: process{number: len(s.members), clockRate: old.clockRate, clockOffset: old.clockOffset}, sim: s, id: s.lastMemberID,
		usualWriteDelay: old.usualWriteDelay, maxWriteDelay: old.usualWriteDelay, disk: replica.PersistentState{},
	}
	s.members = append(s.members, joining)
	joining.start()
	r := &replacement{sim: s, old: old}
	r.voter = coord.Member{ID: joining.id, Address: addressOf(joining.id)}
	r.learner = r.voter
	r.learner.Learner = true
	r.advance()
}

// advance goes on with the current step, and is called again until the last one is done.
func (r *replacement) advance() {
	if r.step == len(replacementSteps) {
		r.sim.replacement = replaced
		return
	}
	step := replacementSteps[r.step]
	for _, m := range r.sim.members {
		if !m.running || m.terminated != nil {
			continue
		}
		if step.isDone(r, m.core.Machine()) {
			step.finish(r)
			r.step++
			r.sim.scheduler.after(0, nil, r.advance)
			return
		}
		if m.leads() {
			r.sim.scheduler.after(0, &m.process, func() {
				_ = step.attempt(r, m.core) // another attempt follows
				m.round()
			})
		}
	}
	r.sim.scheduler.after(replacementInterval, nil, r.advance)
}

// endOldMember ends the old member for good.
func (r *replacement) endOldMember() {
	r.old.crash()
	r.old.terminated = errRemoved
}
