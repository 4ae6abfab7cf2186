// Package trace writes what a relay does into its log, one JSON object a line, so that it can be counted across a whole
// fleet afterwards (package fleet). It is for finding causes: off, it costs nothing.
package trace

import (
	"bytes"
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
	Start  Kind = "start"  // the relay has its list and journal; Relay, Count: relays in the fleet
	Ask    Kind = "ask"    // a watch was asked for
	Told   Kind = "told"   // a list came, or a change of it; Whole, Count: entries
	Lost   Kind = "lost"   // a watch ended; Count: lists it had brought
	Take   Kind = "take"   // a message was taken on; Class
	Turn   Kind = "turn"   // one was refused at its arrival; Class, Ms: told to stay away
	End    Kind = "end"    // one taken on came to its end; Class, How, Ms: its age, Late
	Send   Kind = "send"   // a call was made; Host, Count: its number among the message's
	Answer Kind = "answer" // a call ended; Host, How, Ms: how long it took, Left, Limit, Fresh
)

// How messages and calls end.
const (
	Delivered     = "delivered"
	Deferred      = "deferred"
	Undeliverable = "undeliverable"
)

// Event is one line.
type Event struct {
	Version int     `json:"trace"`
	At      float64 `json:"at"` // Unix time in milliseconds
	Kind    Kind    `json:"ev"`
	Relay   string  `json:"relay,omitempty"`
	ID      string  `json:"id,omitempty"`
	Class   string  `json:"class,omitempty"`
	Dest    int     `json:"dest"`
	Host    string  `json:"host,omitempty"`
	How     string  `json:"how,omitempty"`
	Count   int     `json:"n,omitempty"`
	Ms      float64 `json:"ms,omitempty"`
	Left    float64 `json:"left,omitempty"`  // share of the destination's allowance that is left, as reported
	Limit   float64 `json:"limit,omitempty"` // calls a second, as reported
	Fresh   bool    `json:"fresh,omitempty"` // a connection was opened, or tried to be, for the call
	Whole   bool    `json:"whole,omitempty"`
	Late    bool    `json:"late,omitempty"` // after its class's aim
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

// Note writes an event with its time. A log that takes nothing more stops nothing else.
func (r *Recorder) Note(at time.Duration, e Event) {
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
		return e, true, fmt.Errorf("version %d; this program reads version %d", e.Version, Version)
	case !(e.At >= 0 && e.At <= latest):
		return e, true, fmt.Errorf("at: %v is no Unix time in milliseconds", e.At)
	}
	return e, true, nil
}
