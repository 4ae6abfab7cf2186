package trace

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Section is [trace] of the operator's file.
type Section struct {
	Log bool `toml:"log"` // write each event into the relay's log
}

// Recorder writes events. A nil Recorder writes none. It is safe for concurrent use.
type Recorder struct {
	mu  sync.Mutex // guards out: a line is written as a whole
	out io.Writer
}

// New returns a recorder that writes to out, or nil where the section is absent or does not ask for one.
func New(s *Section, out io.Writer) *Recorder {
	if s == nil || !s.Log {
		return nil
	}
	return &Recorder{out: out}
}

// Record writes an event with its time, which is a Unix time. An event that can't be encoded or written is dropped: a trace must not
// stop the relay.
func (r *Recorder) Record(at time.Duration, e Event) {
	if r == nil {
		return
	}
	e.Version, e.At = Version, float64(at.Microseconds())/1000
	line, err := json.Marshal(e)
	if err != nil {
		return // NaN or an infinity, which the parsers of load reports reject
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Write(append(line, '\n'))
}
