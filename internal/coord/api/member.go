package api

import (
	"fmt"
	"strconv"
	"strings"

	"frostlink/internal/coord"
)

// ParseMember parses "ID=HOST:PORT".
func ParseMember(text string) (coord.Member, error) {
	id, address, ok := strings.Cut(text, "=")
	n, err := strconv.ParseUint(id, 10, 64)
	if !ok || err != nil || n == 0 {
		return coord.Member{}, fmt.Errorf("%q is not ID=HOST:PORT with an id of at least 1", text)
	}
	if _, port, found := strings.Cut(address, ":"); !found || port == "" {
		return coord.Member{}, fmt.Errorf("%q is not ID=HOST:PORT", text)
	}
	return coord.Member{ID: n, Address: address}, nil
}

// ParseMembers parses a list of members. Ids and addresses must be unique.
func ParseMembers(texts []string) ([]coord.Member, error) {
	var members []coord.Member
	for _, text := range texts {
		m, err := ParseMember(text)
		if err != nil {
			return nil, err
		}
		for _, other := range members {
			if other.ID == m.ID || other.Address == m.Address {
				return nil, fmt.Errorf("%q: its id or address is in the list already", text)
			}
		}
		members = append(members, m)
	}
	return members, nil
}
