package journal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"

	"frostlink/internal/clock"
	"frostlink/internal/discovery"
	"frostlink/internal/notification"
	"frostlink/policy"
)

// This file is the form of the journal's file: records one behind the other, each a header, JSON and a body.

// recordHead is the length of a record's header: lengths of its two parts and their checksum.
const recordHead = 12

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one line of the journal. Times in it are instants of the relay's timeline, which its first record anchors; programs
// before that record wrote times of the wall clock in the same form.
type record struct {
	Op     string                  `json:"op"`
	Entry  *Entry                  `json:"entry,omitempty"`
	ID     string                  `json:"id,omitempty"`
	Host   string                  `json:"host,omitempty"`
	At     clock.Instant           `json:"at,omitzero"`
	Unrun  bool                    `json:"unrun,omitempty"`
	Why    string                  `json:"why,omitempty"` // an attempt's outcome, or the reason of a message's end
	Notice *notification.Notice    `json:"notice,omitempty"`
	Health *Health                 `json:"health,omitempty"`
	List   *discovery.EndpointList `json:"list,omitempty"`
	From   string                  `json:"from,omitempty"` // the discovery that told List, or the store's name
	Count  int64                   `json:"count,omitempty"`
	Terms  *policy.Class           `json:"terms,omitempty"` // number Count
	Anchor *clock.Anchor           `json:"anchor,omitempty"`
}

// The kinds of record.
const (
	opTaken  = "taken"
	opBegun  = "begun"
	opEnded  = "ended"
	opOwed   = "owed"
	opOver   = "over"
	opHealth = "health"
	opList   = "list"
	opDone   = "done"   // delivered, and the store is to know
	opTerms  = "terms"  // of a class, as some messages were taken on
	opPast   = "past"   // messages that are over, in the body
	opAnchor = "anchor" // of the timeline that all instants are of
	opStore  = "store"  // which store knows all that was delivered, and the count of arrivals
)

// appendRecord adds a record to b: header, JSON, body.
func appendRecord(b []byte, r record, body []byte) []byte {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // no record that we write can fail
	}
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = append(b, 0, 0, 0, 0)
	b = append(append(b, text...), body...)
	sum := crc32.Update(crc32.Checksum(b[start:start+8], castagnoli), castagnoli, b[start+recordHead:])
	binary.BigEndian.PutUint32(b[start+8:], sum)
	return b
}

// readRecord reads the first record of raw and returns its length.
func readRecord(raw []byte) (r record, body []byte, n int, err error) {
	if len(raw) < recordHead {
		return r, nil, 0, errors.New("torn header")
	}
	text, rest := int(binary.BigEndian.Uint32(raw)), int(binary.BigEndian.Uint32(raw[4:]))
	if n = recordHead + text + rest; n > len(raw) {
		return r, nil, 0, errors.New("torn record")
	}
	sum := crc32.Update(crc32.Checksum(raw[:8], castagnoli), castagnoli, raw[recordHead:n])
	if sum != binary.BigEndian.Uint32(raw[8:]) {
		return r, nil, 0, errors.New("bad checksum")
	}
	if err = json.Unmarshal(raw[recordHead:recordHead+text], &r); err != nil {
		return r, nil, 0, fmt.Errorf("record: %w", err)
	}
	return r, slices.Clone(raw[recordHead+text : n]), n, nil
}
