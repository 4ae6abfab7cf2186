package trace

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// maxAt is the latest time that is read, in milliseconds since 1970: some 30,000 years on. Against a garbled time that would not fit
// a duration.
const maxAt = 1e15

// linePrefix begins each line of a trace, behind whatever a platform writes in front of it.
var linePrefix = []byte(`{"trace":`)

// VersionError is the version of a line that this program does not read.
type VersionError int

func (v VersionError) Error() string {
	return fmt.Sprintf("version %d; this program reads version %d", int(v), Version)
}

// Parse reads an event from a line of a log. ok reports whether the line is one of a trace; err says why one that is can't be used.
func Parse(line []byte) (e Event, ok bool, err error) {
	start := bytes.Index(line, linePrefix)
	if start < 0 {
		return e, false, nil
	}
	if err := json.Unmarshal(line[start:], &e); err != nil {
		return e, true, err //nolint:wrapcheck // callers show it behind the file and line, in the form that operators know
	}
	switch {
	case e.Version != Version:
		return e, true, VersionError(e.Version)
	case !(e.At >= 0 && e.At <= maxAt): // negated, so that NaN fails too
		return e, true, fmt.Errorf("at: %v is no Unix time in milliseconds", e.At)
	}
	return e, true, nil
}
