package coordsim

import (
	"errors"
	"slices"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/replica"
)

// errRemoved is the reason why a removed member does not start again.
var errRemoved = errors.New("member removed")

// replacementInterval is the time between attempts to change the members.
const replacementInterval = 200 * time.Millisecond

// replacementState is the state of the one replacement of a run.
type replacementState int

const (
	notReplacing replacementState = iota
	replacing
	replaced
)

// replacement replaces an old member by a new one in the steps that an operator takes: the new member joins as a learner, the old
// member is removed, and the new member becomes a voter.
type replacement struct {
	sim     *simulation
	old     *member
	learner coord.Member
	voter   coord.Member
	step    int
}

// replacementSteps are the steps of a replacement. Each is retried until a running member has applied it.
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

// replaceMember begins the replacement of a member, preferably of one that is permanently terminated. There is one replacement per run.
// The replacement continues in the quiet period, and must be complete at the end of the run.
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

// advance attempts the current step, or moves on to the next step if the current one is done. It reschedules itself until all steps
// are done.
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
				_ = step.attempt(r, m.core) // the step is retried after replacementInterval
				m.round()
			})
		}
	}
	r.sim.scheduler.after(replacementInterval, nil, r.advance)
}

// endOldMember terminates the old member permanently.
func (r *replacement) endOldMember() {
	r.old.crash()
	r.old.terminated = errRemoved
}
