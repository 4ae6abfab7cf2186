package http1

import "io"

// firstChunkSize is the size in bytes of the part of a request for which a connection needs no chunk. Most requests fit.
const firstChunkSize = 1 << 10

// requestBuffer holds the bytes that were read of the request in progress, and of what follows it: the first ones inside the
// connection, the others in chunks. One goroutine uses it at a time.
type requestBuffer struct {
	first  [firstChunkSize]byte
	chunks []*chunk
	size   int // number of bytes read
}

// space returns free memory behind the bytes read; it is empty if another chunk is needed.
func (b *requestBuffer) space() []byte {
	if b.size < firstChunkSize {
		return b.first[b.size:]
	}
	used := b.size - firstChunkSize
	if used == len(b.chunks)*chunkSize {
		return nil
	}
	return b.chunks[used/chunkSize][used%chunkSize:]
}

// segment returns the longest contiguous part from an offset up to end.
func (b *requestBuffer) segment(offset, end int) []byte {
	if offset < firstChunkSize {
		return b.first[offset:min(end, firstChunkSize)]
	}
	offset, end = offset-firstChunkSize, end-firstChunkSize
	c := b.chunks[offset/chunkSize]
	return c[offset%chunkSize : min(chunkSize, offset%chunkSize+end-offset)]
}

// bytes returns a copy of the bytes from an offset up to end.
func (b *requestBuffer) bytes(offset, end int) []byte {
	out := make([]byte, 0, end-offset)
	for offset < end {
		part := b.segment(offset, end)
		out = append(out, part...)
		offset += len(part)
	}
	return out
}

// drop removes the first n bytes, and returns the chunks that are not needed any more.
func (b *requestBuffer) drop(n int) (unused []*chunk) {
	rest := b.bytes(n, b.size)
	b.size = 0
	for len(rest) > 0 {
		copied := copy(b.space(), rest) // there is space: the bytes were held before
		b.size += copied
		rest = rest[copied:]
	}
	needed := (max(0, b.size-firstChunkSize) + chunkSize - 1) / chunkSize
	unused = b.chunks[needed:]
	if b.chunks = b.chunks[:needed:needed]; needed == 0 {
		b.chunks = nil
	}
	return unused
}

// bufferReader reads the bytes of a requestBuffer from an offset up to end.
type bufferReader struct {
	buffer      *requestBuffer
	offset, end int
}

func (r *bufferReader) Read(p []byte) (int, error) {
	if r.offset == r.end {
		return 0, io.EOF
	}
	n := copy(p, r.buffer.segment(r.offset, r.end))
	r.offset += n
	return n, nil
}
