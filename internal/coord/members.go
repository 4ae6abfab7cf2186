package coord

import (
	"fmt"
	"maps"
	"slices"
)

// MostMembers bounds a quorum: consensus gets slower with each, not safer beyond five.
const MostMembers = 9

// Member is a process of the service.
type Member struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Learner bool   `json:"learner,omitempty"` // has the log and no vote
}

// Join adds a member, or gives a learner its vote.
func (m *Machine) Join(index uint64, member Member) {
	m.index = index
	m.members[member.ID] = member
}

// Leave removes a member for good: its id is not used again.
func (m *Machine) Leave(index uint64, id uint64) {
	m.index = index
	delete(m.members, id)
	if !slices.Contains(m.retired, id) {
		m.retired = append(m.retired, id)
	}
}

// Members gives the members by id.
func (m *Machine) Members() []Member { return byKey(m.members) }

// MayJoin says why a member can't be added, or nothing. One change at a time: a learner first, its vote later.
func (m *Machine) MayJoin(member Member) error {
	old, known := m.members[member.ID]
	switch {
	case member.ID == 0:
		return fmt.Errorf("id: missing")
	case slices.Contains(m.retired, member.ID):
		return fmt.Errorf("id: %d was removed; ids are not used twice", member.ID)
	case known && !old.Learner:
		return fmt.Errorf("id: %d is a voter already", member.ID)
	case known && member.Learner:
		return fmt.Errorf("id: %d is a learner already", member.ID)
	case !known && !member.Learner:
		return fmt.Errorf("id: %d is no learner yet: a member joins as one", member.ID)
	case !known && len(m.members) >= MostMembers:
		return fmt.Errorf("%d members, %d at most", len(m.members), MostMembers)
	}
	for _, other := range slices.Sorted(maps.Keys(m.members)) {
		if other != member.ID && m.members[other].Address == member.Address {
			return fmt.Errorf("address: %s is member %d's", member.Address, other)
		}
	}
	return nil
}

// MayLeave says why a member can't be removed, or nothing.
func (m *Machine) MayLeave(id uint64) error {
	member, known := m.members[id]
	if !known {
		return fmt.Errorf("id: %d is no member", id)
	}
	voters := 0
	for _, other := range m.members {
		if !other.Learner {
			voters++
		}
	}
	if !member.Learner && voters == 1 {
		return fmt.Errorf("id: %d is the only voter", id)
	}
	return nil
}

// Has tells whether a member is there as it is said.
func (m *Machine) Has(member Member) bool { return m.members[member.ID] == member }

// HasID tells whether a member is there.
func (m *Machine) HasID(id uint64) bool { return m.members[id] != (Member{}) }
