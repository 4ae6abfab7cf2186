package journal

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"

	"frostlink/internal/clock"
)

const (
	// mostPast ids of messages that are over are remembered, the latest: more than come to their end while any could come again.
	mostPast = 1 << 16
	// pastShare of the folder's limit is what they may take up in the file.
	pastShare = 0.1
	// mostMilliseconds is the furthest from 1970 that an end can be, either way: an instant counts nanoseconds in 64 bits.
	mostMilliseconds = math.MaxInt64 / 1_000_000
)

// CompletedRequest is a message that was taken on and is over.
type CompletedRequest struct {
	ID string
	At clock.Instant
}

// past are the ids of messages that came to their end not long ago, in that order: one that comes again under its id must not
// be taken for new, also after a restart. It is pure state.
type past struct {
	ids  map[string]bool
	ends []CompletedRequest
}

// add remembers an end, in the place of the oldest where there are too many.
func (p *past) add(e CompletedRequest) {
	if p.ids[e.ID] {
		return
	}
	if p.ids == nil {
		p.ids = map[string]bool{}
	}
	p.ids[e.ID] = true
	p.ends = append(p.ends, e)
	if len(p.ends) > mostPast {
		p.drop(1)
	}
}

// forget drops what ended before a time.
func (p *past) forget(before clock.Instant) {
	n := 0
	for n < len(p.ends) && p.ends[n].At < before {
		n++
	}
	p.drop(n)
}

func (p *past) drop(n int) {
	for _, e := range p.ends[:n] {
		delete(p.ids, e.ID)
	}
	if p.ends = p.ends[n:]; len(p.ends) == 0 {
		p.ends = nil // and the room behind them
	}
}

// fitting are the latest ends whose encoding fits into so many bytes.
func (p *past) fitting(room int) []CompletedRequest {
	first := len(p.ends)
	for first > 0 {
		if room -= len(appendEnd(nil, p.ends[first-1])); room < 0 {
			break
		}
		first--
	}
	return p.ends[first:]
}

// appendEnd encodes an end: the id's length as a uvarint, the id, Unix milliseconds as a varint.
func appendEnd(b []byte, e CompletedRequest) []byte {
	b = append(binary.AppendUvarint(b, uint64(len(e.ID))), e.ID...)
	return binary.AppendVarint(b, e.At.Milliseconds())
}

var errEnd = errors.New("ends that make no sense")

// readEnds reads what appendEnd wrote, all of raw or none.
func readEnds(raw []byte) (ends []CompletedRequest, err error) {
	for len(raw) > 0 {
		length, n := binary.Uvarint(raw)
		if n <= 0 || length > uint64(len(raw)-n) {
			return nil, errEnd
		}
		id := string(raw[n : n+int(length)])
		raw = raw[n+int(length):]
		at, n := binary.Varint(raw)
		if n <= 0 || at > mostMilliseconds || at < -mostMilliseconds {
			return nil, errEnd
		}
		raw = raw[n:]
		ends = append(ends, CompletedRequest{id, clock.FromMilliseconds(at)})
	}
	return ends, nil
}

// Complete notes that nothing more is owed for a message, from a time on.
func (j *Journal) Complete(e *Entry, at clock.Instant) {
	j.note(record{Op: opOver, ID: e.ID, At: at}, nil)
}

// AddCompleted notes an end that another process has told.
func (j *Journal) AddCompleted(e CompletedRequest) { j.past.add(e) }

// IsCompleted tells whether a message of an id was taken on and is over, as far as that is remembered.
func (j *Journal) IsCompleted(id string) bool { return j.past.ids[id] }

// CompletedRequests are the messages that are over and remembered, in the order in which they ended.
func (j *Journal) CompletedRequests() []CompletedRequest { return slices.Clone(j.past.ends) }

// ExpireCompleted drops what ended before a time; the file forgets with its next compaction.
func (j *Journal) ExpireCompleted(before clock.Instant) { j.past.forget(before) }
