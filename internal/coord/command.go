// Package coord is the replicated state of the coordination service: sessions, leases with fencing tokens, and
// small values, as a function of the log alone (docs/design/coordination.md). It has no clock: time is what the
// log's entries say has passed. Names follow "The Chubby lock service" (Burrows, OSDI 2006): session, fencing by a
// sequencer (here: token), grace of a new leader.
package coord

import (
	"encoding/json"
	"fmt"
	"time"
)

// EntryVersion is the form of an entry of the log.
const EntryVersion = 1

// Op says what a command does.
type Op string

// The operations.
const (
	Open     Op = "open"     // begin a session
	Renew    Op = "renew"    // keep a session; also the way to learn what it holds
	Close    Op = "close"    // end a session and all that it holds
	Acquire  Op = "acquire"  // hold a lease or wait for it
	Release  Op = "release"  // give a lease back, or leave its queue
	Handover Op = "handover" // give a lease to one who waits, by name
	Revoke   Op = "revoke"   // an operator takes a lease from its holder
	Put      Op = "put"      // write a value if it is as expected
	Delete   Op = "delete"   // remove a value if it is as expected
)

// Command is one thing that a client wants done. Those with an effect carry the session's next number in Seq, so
// that one that comes again is not applied again.
type Command struct {
	Op      Op            `json:"op"`
	Session uint64        `json:"session,omitempty"`
	Seq     uint64        `json:"seq,omitempty"`   // from 1; Open, Renew and Close carry none
	Nonce   string        `json:"nonce,omitempty"` // Open: the session's name before it has a number
	Name    string        `json:"name,omitempty"`  // Open: who it is, for people
	TTL     time.Duration `json:"ttl,omitempty"`   // Open: how long the session lasts unrenewed
	Lease   string        `json:"lease,omitempty"`
	Token   uint64        `json:"token,omitempty"`  // the grant that is meant
	To      string        `json:"to,omitempty"`     // Handover: the session's Name
	Reason  string        `json:"reason,omitempty"` // for people
	Key     string        `json:"key,omitempty"`
	Value   []byte        `json:"value,omitempty"`
	Expect  uint64        `json:"expect,omitempty"` // Put, Delete: the version that has to stand there; 0: none
}

// Code says how a command ended.
type Code string

// The codes. All but Done leave the state as it was, except that a session's command renews it.
const (
	Done      Code = "done"
	Waiting   Code = "waiting"    // in the queue
	NoSession Code = "no session" // it has ended, or never was
	Late      Code = "late"       // a later command of the session was applied already
	NotHeld   Code = "not held"   // the lease is not held under that token
	Conflict  Code = "conflict"   // the value's version is another
	Full      Code = "full"       // a bound is reached; Why names it
	Invalid   Code = "invalid"    // the command can't be read; Why says where
)

// Grant is a lease that a session holds.
type Grant struct {
	Lease string `json:"lease"`
	Token uint64 `json:"token"`
	Wait  int    `json:"wait,omitempty"` // so many wait for it
}

// Result is the answer to a command.
type Result struct {
	Code    Code   `json:"code"`
	Why     string `json:"why,omitempty"`
	Stamp   uint64 `json:"stamp"` // grows with every command applied: of two answers the higher one is newer
	Session uint64 `json:"session,omitempty"`
	Token   uint64 `json:"token,omitempty"`   // Acquire: of the grant
	Version uint64 `json:"version,omitempty"` // Put: of the value written; Conflict: of the value that stands

	// What the session has, as of this answer.
	TTL     time.Duration `json:"ttl,omitempty"`
	Held    []Grant       `json:"held,omitempty"`
	Revoked []Grant       `json:"revoked,omitempty"` // to be released, at once
	Queued  []string      `json:"queued,omitempty"`
}

// Entry is one entry of the log.
type Entry struct {
	Version int `json:"v"`
	// Elapsed is the time since the leader's entry before this one, on the leader's clock. 0 in its first.
	Elapsed time.Duration `json:"elapsed,omitempty"`
	// Wall is the leader's wall clock in milliseconds since 1970, for people who read the history.
	Wall int64 `json:"wall,omitempty"`
	// From, Life and Number tell the member that proposed the entry which of its proposals it was.
	From   uint64 `json:"from"`
	Life   uint64 `json:"life"`
	Number uint64 `json:"n"`
	// Begin is the term of a new leader in its first entry, which renews all sessions.
	Begin    uint64    `json:"begin,omitempty"`
	Commands []Command `json:"commands,omitempty"`
}

// Encode gives an entry's bytes.
func (e Entry) Encode() []byte {
	e.Version = EntryVersion
	raw, err := json.Marshal(e)
	if err != nil {
		panic(fmt.Sprintf("coord: an entry that can't be encoded: %v", err)) // its types all can
	}
	return raw
}

// DecodeEntry reads an entry. An error means another version's entry or damage; the member must stop there, since
// what it skipped others have applied.
func DecodeEntry(raw []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return e, fmt.Errorf("entry: %w", err)
	}
	if e.Version != EntryVersion {
		return e, fmt.Errorf("entry: version %d; this program reads version %d", e.Version, EntryVersion)
	}
	if e.Elapsed < 0 {
		return e, fmt.Errorf("entry: %v elapsed", e.Elapsed)
	}
	return e, nil
}
