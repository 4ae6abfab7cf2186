package journal

import (
	"errors"
	"fmt"
)

// The causes of a CorruptRecordError, besides malformed JSON.
var (
	ErrTruncatedHeader  = errors.New("truncated header")
	ErrTruncatedRecord  = errors.New("truncated record")
	ErrChecksumMismatch = errors.New("checksum mismatch")
)

// errMalformedCompleted is returned if the body of a record of completed requests can't be decoded.
var errMalformedCompleted = errors.New("malformed completed requests")

// CorruptRecordError reports the first record of a file that can't be read. Replay stops there.
type CorruptRecordError struct {
	Offset  int   // the record's offset in the file
	Skipped int   // bytes from there to the end of the file
	Err     error // why it can't be read
}

func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("corrupt record at offset %d, %d bytes skipped: %v", e.Offset, e.Skipped, e.Err)
}

// Unwrap returns the cause.
func (e *CorruptRecordError) Unwrap() error { return e.Err }
