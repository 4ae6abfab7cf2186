package journal

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"slices"

	"frostlink/internal/clock"
	"frostlink/internal/discovery"
	"frostlink/internal/notification"
	"frostlink/policy"
)

// Layout of a record's header, see "File format" in the package's documentation.
const (
	lengthsSize = 8               // the two lengths, which the checksum covers
	headerSize  = lengthsSize + 4 // the lengths and the checksum
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordKind is the kind of a record as stored.
type recordKind string

// The kinds of record, as in the table of the package's documentation.
const (
	kindAnchor            recordKind = "anchor"
	kindTerms             recordKind = "terms"
	kindAccepted          recordKind = "taken"
	kindAttemptStarted    recordKind = "begun"
	kindAttemptEnded      recordKind = "ended"
	kindDelivered         recordKind = "done"
	kindOutcomeDecided    recordKind = "owed"
	kindCompleted         recordKind = "over"
	kindCompletedRequests recordKind = "past"
	kindEndpoints         recordKind = "list"
	kindStore             recordKind = "store"
	kindHealth            recordKind = "health"
)

// record is one change of state. Which fields are set depends on its kind.
type record struct {
	Kind        recordKind              `json:"op"`
	Entry       *Entry                  `json:"entry,omitempty"`
	ID          string                  `json:"id,omitempty"`
	Endpoint    string                  `json:"host,omitempty"`
	At          clock.Instant           `json:"at,omitzero"`
	NotExecuted bool                    `json:"unrun,omitempty"`
	Reason      string                  `json:"why,omitempty"` // an attempt's outcome, or the reason of a terminal outcome
	Notice      *notification.Notice    `json:"notice,omitempty"`
	Health      *Health                 `json:"health,omitempty"`
	Endpoints   *discovery.EndpointList `json:"list,omitempty"`
	Source      string                  `json:"from,omitempty"`  // the discovery service that sent Endpoints, or the store's name
	Count       int64                   `json:"count,omitempty"` // the number of Terms, or the highest arrival number
	Terms       *policy.Class           `json:"terms,omitempty"`
	Anchor      *clock.Anchor           `json:"anchor,omitempty"`

	// Body follows the JSON part.
	Body []byte `json:"-"`
}

// appendRecord appends the encoding of a record to b.
func appendRecord(b []byte, r record) []byte { return append(appendRecordHead(b, r), r.Body...) }

// appendRecordHead appends the encoding of a record, without its body, to b.
func appendRecordHead(b []byte, r record) []byte {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // unreachable: every field of a record can be encoded
	}
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(r.Body)))
	b = append(b, 0, 0, 0, 0) // space for the checksum, which is computed last
	b = append(b, text...)
	sum := crc32.Update(checksum(b[start:]), castagnoli, r.Body)
	binary.BigEndian.PutUint32(b[start+lengthsSize:], sum)
	return b
}

// recordReader reads the records of a file one after another, so that memory holds one of them at a time.
type recordReader struct {
	in      *bufio.Reader
	left    int    // bytes of the file that were not read yet
	encoded []byte // the record read last; its memory is used again
}

// read reads the next record, and returns its encoded size.
func (r *recordReader) read() (rec record, size int, err error) {
	if r.left < headerSize {
		return record{}, 0, ErrTruncatedHeader
	}
	header, err := r.in.Peek(headerSize)
	if err != nil {
		return record{}, 0, fmt.Errorf("read record: %w", err)
	}
	bodyStart := headerSize + int(binary.BigEndian.Uint32(header))
	size = bodyStart + int(binary.BigEndian.Uint32(header[4:]))
	if size > r.left {
		return record{}, 0, ErrTruncatedRecord
	}
	r.encoded = slices.Grow(r.encoded[:0], size)[:size]
	if _, err := io.ReadFull(r.in, r.encoded); err != nil {
		return record{}, 0, fmt.Errorf("read record: %w", err)
	}
	r.left -= size
	rec, err = decodeRecord(r.encoded, bodyStart)
	return rec, size, err
}

// decodeRecord decodes a record whose body begins at bodyStart.
func decodeRecord(encoded []byte, bodyStart int) (r record, err error) {
	if checksum(encoded) != binary.BigEndian.Uint32(encoded[lengthsSize:]) {
		return record{}, ErrChecksumMismatch
	}
	if err := json.Unmarshal(encoded[headerSize:bodyStart], &r); err != nil {
		return record{}, fmt.Errorf("decode record: %w", err)
	}
	r.Body = slices.Clone(encoded[bodyStart:])
	return r, nil
}

// checksum returns the checksum of an encoded record. It covers all bytes except the checksum field.
func checksum(encoded []byte) uint32 {
	sum := crc32.Checksum(encoded[:lengthsSize], castagnoli)
	return crc32.Update(sum, castagnoli, encoded[headerSize:])
}
