package journal

import (
	"encoding/binary"
	"math"
	"slices"

	"frostlink/internal/clock"
)

const (
	// maxCompleted is the maximum number of completed requests that are remembered. It exceeds the number
	// of requests that are completed during the period in which a request can be submitted again.
	maxCompleted = 1 << 16
	// completedOverhead is the memory in bytes that a completed request takes besides its id: a string, an element of the slice, which
	// grows by a quarter at a time, and an element of the map.
	completedOverhead = 128
	// maxMilliseconds is the largest distance of a stored time from 1970, before or after, because an
	// Instant counts nanoseconds in 64 bits.
	maxMilliseconds = math.MaxInt64 / 1_000_000
)

// CompletedRequest is a request that was accepted and is completed.
type CompletedRequest struct {
	ID string
	At clock.Instant
}

// completedRequests remembers the requests that were completed recently, so that a request that is
// submitted again under the same id is not accepted a second time, even after a restart. The zero value
// is empty.
type completedRequests struct {
	ids     map[string]bool
	ordered []CompletedRequest // in order of completion
	memory  int                // in bytes
	limit   int                // of memory; 0: none
}

// memorySize returns the memory that a completed request takes, in bytes.
func (c *CompletedRequest) memorySize() int { return len(c.ID) + completedOverhead }

// add remembers a request, and drops the oldest requests if there are more than maxCompleted, or if they take more memory than the
// limit.
func (r *completedRequests) add(c CompletedRequest) {
	if r.ids[c.ID] {
		return
	}
	if r.ids == nil {
		r.ids = map[string]bool{}
	}
	r.ids[c.ID] = true
	r.ordered = append(r.ordered, c)
	r.memory += c.memorySize()
	r.enforceLimits()
}

// setMemoryLimit bounds the memory of the requests, in bytes.
func (r *completedRequests) setMemoryLimit(limit int) {
	r.limit = limit
	r.enforceLimits()
}

func (r *completedRequests) enforceLimits() {
	for len(r.ordered) > maxCompleted || r.limit > 0 && r.memory > r.limit {
		r.dropOldest(1)
	}
}

// expire drops the requests that were completed before a time.
func (r *completedRequests) expire(before clock.Instant) {
	n := 0
	for n < len(r.ordered) && r.ordered[n].At < before {
		n++
	}
	r.dropOldest(n)
}

func (r *completedRequests) dropOldest(n int) {
	for i := range r.ordered[:n] {
		delete(r.ids, r.ordered[i].ID)
		r.memory -= r.ordered[i].memorySize()
		r.ordered[i] = CompletedRequest{} // so that the id is not held by the slice's memory
	}
	r.ordered = r.ordered[n:]
	if len(r.ordered) == 0 {
		r.ordered = nil // releases the slice's memory
	}
}

// latest returns the most recently completed requests whose encodings together fit into capacity bytes.
func (r *completedRequests) latest(capacity int) []CompletedRequest {
	first := len(r.ordered)
	for first > 0 {
		capacity -= len(appendCompleted(nil, r.ordered[first-1]))
		if capacity < 0 {
			break
		}
		first--
	}
	return r.ordered[first:]
}

// encodeCompleted returns the concatenated encodings of completed requests.
func encodeCompleted(requests []CompletedRequest) []byte {
	var b []byte
	for _, c := range requests {
		b = appendCompleted(b, c)
	}
	return b
}

// appendCompleted appends the encoding of a completed request to b: the length of the id as a uvarint,
// the id, and milliseconds since 1970 as a varint.
func appendCompleted(b []byte, c CompletedRequest) []byte {
	b = binary.AppendUvarint(b, uint64(len(c.ID)))
	b = append(b, c.ID...)
	return binary.AppendVarint(b, c.At.Milliseconds())
}

// readCompleted decodes the result of encodeCompleted. If any part of it is malformed, readCompleted
// returns no requests at all.
func readCompleted(raw []byte) ([]CompletedRequest, error) {
	var requests []CompletedRequest
	for len(raw) > 0 {
		length, n := binary.Uvarint(raw)
		if n <= 0 || length > uint64(len(raw)-n) {
			return nil, errMalformedCompleted
		}
		raw = raw[n:]
		id := string(raw[:length])
		raw = raw[length:]

		milliseconds, n := binary.Varint(raw)
		if n <= 0 || milliseconds > maxMilliseconds || milliseconds < -maxMilliseconds {
			return nil, errMalformedCompleted
		}
		raw = raw[n:]
		requests = append(requests, CompletedRequest{ID: id, At: clock.FromMilliseconds(milliseconds)})
	}
	return requests, nil
}

// IsCompleted reports whether the journal remembers a completed request with this id.
func (j *Journal) IsCompleted(id string) bool { return j.completed.ids[id] }

// CompletedRequests returns the completed requests that are remembered, in order of completion.
func (j *Journal) CompletedRequests() []CompletedRequest { return slices.Clone(j.completed.ordered) }
