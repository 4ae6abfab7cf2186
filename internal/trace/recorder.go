package trace

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Section is the section [trace] of the operator's file.
type Section struct {
	Log bool `toml:"log"` // write each event into the relay's log
}

// Recorder writes events. A nil Recorder writes none. It is safe for concurrent use.
type Recorder struct {
	mu  sync.Mutex // guards out, so that lines are not mixed
	out io.Writer
}

// New returns a recorder that writes to out, or nil if the section is absent or does not turn the trace on.
func New(s *Section, out io.Writer) *Recorder {
	if s == nil || !s.Log {
		return nil
	}
	return &Recorder{out: out}
}

// Record writes an event. at is the time since 1970. Record drops an event that can't be encoded or written, because a trace must
// not stop the relay.
func (r *Recorder) Record(at time.Duration, e Event) {
	if r == nil {
		return
	}
	e.Version, e.At = Version, float64(at.Microseconds())/1000
	line, err := json.Marshal(e)
	if err != nil {
		return // a NaN or an infinity; does not happen, because the parsers of load reports reject them
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Write(append(line, '\n'))
}
