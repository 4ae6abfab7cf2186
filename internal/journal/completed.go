package journal

import (
	"encoding/binary"
	"hash/maphash"
	"math"

	"frostlink/internal/clock"
)

const (
	// completedBlockSize is the size in bytes up to which the encodings of completed requests are put together, in memory and in one
	// record of a file. It exceeds the longest encoding.
	completedBlockSize = 16 << 10
	// completedOverhead is the memory in bytes that a completed request takes besides its encoding: an element of the map.
	completedOverhead = 32
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
// submitted again under the same id is not accepted a second time, even after a restart. It drops none before it expires: the journal
// accepts no request for whose id there is no space. The zero value is empty.
type completedRequests struct {
	seed   maphash.Seed
	hashes map[uint64]struct{} // of the ids; two of ten thousand ids have the same hash with a probability below 1e-11
	blocks []completedBlock    // in order of completion
	size   int                 // of all encodings, in bytes
	limit  int                 // of the memory that is taken, in bytes; 0: none
}

// completedBlock holds the encodings of completed requests.
type completedBlock []byte

// memory returns the memory that the requests take, in bytes.
func (r *completedRequests) memory() int { return r.size + completedOverhead*len(r.hashes) }

// completedMemory returns the memory, in bytes, that a request with this id takes once it is completed.
func completedMemory(id string) int {
	return binary.MaxVarintLen16 + len(id) + binary.MaxVarintLen64 + completedOverhead
}

func (r *completedRequests) hash(id string) uint64 { return maphash.String(r.seed, id) }

// contains reports whether a request with this id is remembered.
func (r *completedRequests) contains(id string) bool {
	if len(r.hashes) == 0 {
		return false
	}
	_, found := r.hashes[r.hash(id)]
	return found
}

// add remembers a request.
func (r *completedRequests) add(c CompletedRequest) {
	if r.contains(c.ID) {
		return
	}
	if r.hashes == nil {
		r.seed, r.hashes = maphash.MakeSeed(), map[uint64]struct{}{}
	}
	r.hashes[r.hash(c.ID)] = struct{}{}
	encoded := appendCompleted(nil, c)
	r.size += len(encoded)
	last := len(r.blocks) - 1
	if last < 0 || len(r.blocks[last])+len(encoded) > cap(r.blocks[last]) {
		r.blocks = append(r.blocks, make(completedBlock, 0, max(completedBlockSize, len(encoded))))
		last++
	}
	r.blocks[last] = append(r.blocks[last], encoded...)
}

// expire drops the requests that were completed before a time, up to the first that was not.
func (r *completedRequests) expire(before clock.Instant) {
	for len(r.blocks) > 0 {
		c, rest, err := nextCompleted(r.blocks[0])
		if err != nil || c.At >= before { // an error can't occur: add has encoded the block
			return
		}
		delete(r.hashes, r.hash(c.ID))
		r.size -= len(r.blocks[0]) - len(rest)
		if r.blocks[0] = rest; len(rest) == 0 {
			r.blocks = r.blocks[1:]
		}
	}
	*r = completedRequests{limit: r.limit} // releases the memory of the map
}

// all returns the requests in order of completion.
func (r *completedRequests) all() []CompletedRequest {
	requests := make([]CompletedRequest, 0, len(r.hashes))
	for _, block := range r.blocks {
		decoded, _ := readCompleted(block) // add has encoded the block
		requests = append(requests, decoded...)
	}
	return requests
}

// latest returns the latest blocks whose sizes together are at most capacity bytes.
func (r *completedRequests) latest(capacity int) []completedBlock {
	first := len(r.blocks)
	for first > 0 && len(r.blocks[first-1]) <= capacity {
		first--
		capacity -= len(r.blocks[first])
	}
	return r.blocks[first:]
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

// nextCompleted decodes the first completed request of raw, and returns what follows it.
func nextCompleted(raw []byte) (c CompletedRequest, rest []byte, err error) {
	length, n := binary.Uvarint(raw)
	if n <= 0 || length > uint64(len(raw)-n) {
		return CompletedRequest{}, nil, errMalformedCompleted
	}
	raw = raw[n:]
	id := string(raw[:length])
	raw = raw[length:]
	milliseconds, n := binary.Varint(raw)
	if n <= 0 || milliseconds > maxMilliseconds || milliseconds < -maxMilliseconds {
		return CompletedRequest{}, nil, errMalformedCompleted
	}
	return CompletedRequest{ID: id, At: clock.FromMilliseconds(milliseconds)}, raw[n:], nil
}

// readCompleted decodes the result of encodeCompleted. If any part of it is malformed, readCompleted
// returns no requests at all.
func readCompleted(raw []byte) ([]CompletedRequest, error) {
	var requests []CompletedRequest
	for len(raw) > 0 {
		c, rest, err := nextCompleted(raw)
		if err != nil {
			return nil, err
		}
		requests, raw = append(requests, c), rest
	}
	return requests, nil
}

// IsCompleted reports whether the journal remembers a completed request with this id.
func (j *Journal) IsCompleted(id string) bool { return j.completed.contains(id) }

// CompletedRequests returns the completed requests that are remembered, in order of completion.
func (j *Journal) CompletedRequests() []CompletedRequest { return j.completed.all() }

// LimitCompleted bounds the memory, in bytes, of the completed requests that are remembered.
func (j *Journal) LimitCompleted(memory int) { j.completed.limit = memory }

// CompletedMemory returns the memory, in bytes, of the completed requests that are remembered.
func (j *Journal) CompletedMemory() int { return j.completed.memory() }

// CanRemember reports whether there is memory for the id of one more request, besides those of the open requests, once it is
// completed. A request that would be forgotten too early must not be accepted: it could be executed again.
func (j *Journal) CanRemember(id string) bool {
	return j.completed.limit == 0 || j.completed.memory()+j.openIDMemory+completedMemory(id) <= j.completed.limit
}
