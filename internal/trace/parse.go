package trace

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// maxAt is the latest accepted time, in milliseconds since 1970: about 30,000 years later. It rejects corrupted times that would
// not fit into a time.Duration.
const maxAt = 1e15

// linePrefix is the beginning of each event. The platform may write a prefix of its own in front of it.
var linePrefix = []byte(`{"trace":`)

// VersionError is the error for a line of a version that this program can't read.
type VersionError int

func (v VersionError) Error() string {
	return fmt.Sprintf("version %d; this program reads version %d", int(v), Version)
}

// Parse reads an event from a line of a log. ok reports whether the line contains an event; err says why such a line can't be used.
func Parse(line []byte) (e Event, ok bool, err error) {
	start := bytes.Index(line, linePrefix)
	if start < 0 {
		return e, false, nil
	}
	if err := json.Unmarshal(line[start:], &e); err != nil {
		return e, true, err //nolint:wrapcheck // callers print it after the file and line, in the format that operators are used to
	}
	switch {
	case e.Version != Version:
		return e, true, VersionError(e.Version)
	case !(e.At >= 0 && e.At <= maxAt): // negated, so that NaN is rejected too
		return e, true, fmt.Errorf("at: %v is no Unix time in milliseconds", e.At)
	}
	return e, true, nil
}
