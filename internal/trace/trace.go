// Package trace writes what a relay does into its log, one JSON object a line, so that it can be counted across a whole
// fleet afterwards (package fleet). It is for finding causes: off, it costs nothing.
package trace

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Version is the form of the lines that this program writes and reads.
const Version = 1

// latest is the latest time that is read, in milliseconds since 1970: some 30,000 years on.
const latest = 1e15

// Section is [trace] of the operator's file.
type Section struct {
	Log bool `toml:"log"` // write each event into the relay's log
}

// Kind says what happened.
type Kind string

// The kinds of event.
const (
	RelayStarted       Kind = "start"  // the relay has its list and journal; Relay, Count: relays in the fleet
	WatchRequested     Kind = "ask"    // a watch was asked for
	EndpointsReceived  Kind = "told"   // a list came, or a change of it; Whole, Count: entries
	WatchEnded         Kind = "lost"   // a watch ended; Count: lists it had brought
	Accepted           Kind = "take"   // a message was taken on; Class
	Rejected           Kind = "turn"   // one was refused at its arrival; Class, Ms: told to stay away
	Completed          Kind = "end"    // one taken on came to its end; Class, How, Ms: its age, Late
	AttemptStarted     Kind = "send"   // a call was made; Host, Count: its number among the message's
	AttemptEnded       Kind = "answer" // a call ended; Host, How, Ms: how long it took, Left, Limit, Fresh
	Resubmitted        Kind = "again"  // a message was handed in once more under an id that the relay knows; Count: the answer's status
	Recovered          Kind = "resume" // one was taken up from the journal; Class, How: its end, where only the notice is owed, Count: calls made
	Notified           Kind = "notice" // the platform has a message's notice
	ShutdownRequested  Kind = "stop"   // a planned end was asked for
	ConnClosed         Kind = "close"  // a client's connection was closed; Why
	FolderStateChanged Kind = "folder" // the folder's state has changed; How: the new one
	ClockStepped       Kind = "step"   // the wall clock was stepped; Ms: by so much
)

// How messages and calls end.
const (
	Delivered     = "delivered"
	Deferred      = "deferred"
	Undeliverable = "undeliverable"
	Withdrawn     = "withdrawn" // a host said that it is over: nothing more is owed
)

// What a second effect of a message would do, as Event.Effect says it.
const (
	Idempotent      = "safe"
	IdempotentByKey = "keyed"
	NotIdempotent   = "unsafe"
)

// Digest stands for an idempotency key in a trace: equal keys have equal ones, and none gives its key away.
func Digest(key string) string {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:8])
}

// Event is one line.
type Event struct {
	Version     int     `json:"trace"`
	At          float64 `json:"at"` // Unix time in milliseconds
	Kind        Kind    `json:"ev"`
	Relay       string  `json:"relay,omitempty"`
	ID          string  `json:"id,omitempty"`
	Class       string  `json:"class,omitempty"`
	Destination int     `json:"dest"`
	Endpoint    string  `json:"host,omitempty"`
	Outcome     string  `json:"how,omitempty"`
	Count       int     `json:"n,omitempty"`
	Ms          float64 `json:"ms,omitempty"`
	Left        float64 `json:"left,omitempty"`  // share of the destination's allowance that is left, as reported
	Limit       float64 `json:"limit,omitempty"` // calls a second, as reported
	NewConn     bool    `json:"fresh,omitempty"` // a connection was opened, or tried to be, for the call
	Full        bool    `json:"whole,omitempty"`
	Late        bool    `json:"late,omitempty"`    // after its class's aim
	WaitMs      float64 `json:"wait_ms,omitempty"` // with Answer: told to wait so long
	LeftMs      float64 `json:"left_ms,omitempty"` // with Take, Turn, Resume and Send: what is left of the message\'s time
	Reason      string  `json:"why,omitempty"`     // with Turn, End and Close: the reason
	// With Take, Turn and Resume: the digest of its key, what its client says of an earlier hand-in, when its time is up (Unix
	// time in milliseconds), and under which terms it was taken on.
	Key         string  `json:"key,omitempty"`
	Retry       string  `json:"retry,omitempty"`
	Deadline    float64 `json:"due,omitempty"`
	Idempotency string  `json:"effect,omitempty"`
	KeyTTLMs    float64 `json:"memory_ms,omitempty"` // how long a destination keeps its key
}

// Recorder writes events. The nil Recorder writes none.
type Recorder struct {
	mu  sync.Mutex
	out io.Writer
}

// New gives a recorder that writes to out, or nil where the section does not want one.
func New(s *Section, out io.Writer) *Recorder {
	if s == nil || !s.Log {
		return nil
	}
	return &Recorder{out: out}
}

// Record writes an event with its time. A log that takes nothing more stops nothing else.
func (r *Recorder) Record(at time.Duration, e Event) {
	if r == nil {
		return
	}
	e.Version, e.At = Version, float64(at.Microseconds())/1000
	line, err := json.Marshal(e)
	if err != nil {
		return // a number that is none: parsers of reports let none through
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Write(append(line, '\n'))
}

// VersionError is the version of a line that this program does not read.
type VersionError int

func (v VersionError) Error() string {
	return fmt.Sprintf("version %d; this program reads version %d", int(v), Version)
}

// mark begins each line of a trace, whatever a platform writes in front of it.
var mark = []byte(`{"trace":`)

// Parse reads a line of a log. There is none of the trace in it where ok is false; err says why one that has can't be used.
func Parse(line []byte) (e Event, ok bool, err error) {
	at := bytes.Index(line, mark)
	if at < 0 {
		return e, false, nil
	}
	if err := json.Unmarshal(line[at:], &e); err != nil {
		return e, true, err
	}
	switch {
	case e.Version != Version:
		return e, true, VersionError(e.Version)
	case !(e.At >= 0 && e.At <= latest):
		return e, true, fmt.Errorf("at: %v is no Unix time in milliseconds", e.At)
	}
	return e, true, nil
}
