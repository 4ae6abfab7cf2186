package journal

import (
	"fmt"
	"io"
)

const (
	// copiedBodySize is the size in bytes up to which a body is copied into the buffer. A larger one is written from where it is.
	copiedBodySize = 4 << 10
	// maxPartCapacity is the size in bytes of the largest part that is kept for the next Commit.
	maxPartCapacity = 64 << 10
)

// recordBuffer holds the encoding of records until they are written, in parts that are written one after another.
type recordBuffer struct {
	parts [][]byte
	size  int    // of all parts, in bytes
	own   []byte // the last part, if more may be appended to it
}

// add adds a record. Its body must not change until it is written.
func (b *recordBuffer) add(r record) {
	before := len(b.own)
	if len(r.Body) <= copiedBodySize {
		b.own = appendRecord(b.own, r)
		b.size += len(b.own) - before
		return
	}
	b.own = appendRecordHead(b.own, r)
	b.size += len(b.own) - before + len(r.Body)
	b.parts = append(b.parts, b.own, r.Body)
	b.own = nil
}

// reset drops all records.
func (b *recordBuffer) reset() {
	kept := b.own[:0]
	if cap(kept) > maxPartCapacity {
		kept = nil
	}
	clear(b.parts)
	*b = recordBuffer{parts: b.parts[:0], own: kept}
}

// writeTo writes all records.
func (b *recordBuffer) writeTo(w io.Writer) error {
	for _, part := range b.parts {
		if _, err := w.Write(part); err != nil {
			return fmt.Errorf("write records: %w", err)
		}
	}
	if len(b.own) == 0 {
		return nil
	}
	if _, err := w.Write(b.own); err != nil {
		return fmt.Errorf("write records: %w", err)
	}
	return nil
}
