package coord

import (
	"encoding/json"
	"fmt"
	"time"
)

// EntryVersion is the version of an entry's encoding.
const EntryVersion = 1

// Entry is one entry of the log.
type Entry struct {
	Version int `json:"v"`
	// Elapsed is the time since the leader's previous entry, on the leader's clock. It is 0 in a
	// leader's first entry.
	Elapsed time.Duration `json:"elapsed,omitempty"`
	// WallMillis is the leader's wall clock in milliseconds since 1970. It is shown in the history
	// of leases; the state does not depend on it.
	WallMillis int64 `json:"wall,omitempty"`
	// Proposer, Incarnation and ProposalID identify the proposal, so that the member that proposed
	// the entry can complete the entry's commands.
	Proposer    uint64 `json:"from"`
	Incarnation uint64 `json:"life"`
	ProposalID  uint64 `json:"n"`
	// NewTerm is the term of a new leader in its first entry, which renews all sessions; 0 in any
	// other entry.
	NewTerm  uint64    `json:"begin,omitempty"`
	Commands []Command `json:"commands,omitempty"`
}

// Encode returns an entry's bytes.
func (e Entry) Encode() []byte {
	e.Version = EntryVersion
	raw, err := json.Marshal(e)
	if err != nil {
		panic(fmt.Sprintf("coord: encode entry: %v", err)) // can't happen: all its types can be encoded
	}
	return raw
}

// DecodeEntry decodes an entry. An error means that the entry has another version or is damaged.
// The member must stop then: the other members have applied the entry, and a member that skipped it
// would have another state.
func DecodeEntry(raw []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return e, fmt.Errorf("entry: %w", err)
	}
	if e.Version != EntryVersion {
		return e, &VersionError{Form: "entry", Version: e.Version, Supported: EntryVersion}
	}
	if e.Elapsed < 0 {
		return e, fmt.Errorf("entry: negative elapsed time %v", e.Elapsed)
	}
	return e, nil
}
