package coord

import (
	"maps"
	"slices"
)

// Member is a process of the coordination service.
type Member struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Learner bool   `json:"learner,omitempty"` // replicates the log and has no vote
}

// AddMember adds a member, or promotes a learner to a voter.
func (m *Machine) AddMember(index uint64, member Member) {
	m.index = index
	m.members[member.ID] = member
}

// RemoveMember removes a member for good: its id is not reused.
func (m *Machine) RemoveMember(index uint64, id uint64) {
	m.index = index
	delete(m.members, id)
	if !slices.Contains(m.removedMembers, id) {
		m.removedMembers = append(m.removedMembers, id)
	}
}

// Members returns the members, sorted by id.
func (m *Machine) Members() []Member { return valuesByKey(m.members) }

// ValidateAdd returns a FieldError if a member can't be added. A new member is added as a learner
// first and promoted to a voter later.
func (m *Machine) ValidateAdd(member Member) error {
	current, known := m.members[member.ID]
	switch {
	case member.ID == 0:
		return fieldErrorf("id", "missing")
	case slices.Contains(m.removedMembers, member.ID):
		return fieldErrorf("id", "%d was removed; ids are not used twice", member.ID)
	case known && !current.Learner:
		return fieldErrorf("id", "%d is a voter already", member.ID)
	case known && member.Learner:
		return fieldErrorf("id", "%d is a learner already", member.ID)
	case !known && !member.Learner:
		return fieldErrorf("id", "%d is no learner yet: a member joins as one", member.ID)
	case !known && len(m.members) >= MaxMembers:
		return fieldErrorf("", "%d members, %d at most", len(m.members), MaxMembers)
	}
	for _, other := range slices.Sorted(maps.Keys(m.members)) {
		if other != member.ID && m.members[other].Address == member.Address {
			return fieldErrorf("address", "%s is member %d's", member.Address, other)
		}
	}
	return nil
}

// ValidateRemove returns a FieldError if a member can't be removed.
func (m *Machine) ValidateRemove(id uint64) error {
	member, known := m.members[id]
	if !known {
		return fieldErrorf("id", "%d is no member", id)
	}
	voters := 0
	for _, other := range m.members {
		if !other.Learner {
			voters++
		}
	}
	if !member.Learner && voters == 1 {
		return fieldErrorf("id", "%d is the only voter", id)
	}
	return nil
}

// HasMember reports whether the cluster has a member with exactly this id, address and role.
func (m *Machine) HasMember(member Member) bool { return m.members[member.ID] == member }

// HasMemberID reports whether the cluster has a member with an id.
func (m *Machine) HasMemberID(id uint64) bool { return m.members[id] != (Member{}) }
