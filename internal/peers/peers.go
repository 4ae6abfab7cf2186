// Package peers has relays tell each other whether they take clients, so that those that do can send what the others leave
// of each partner's rate. What a relay says is a note of a few bytes that may be lost or come late; nothing rests on it but
// how a rate is shared. This file is without I/O or clock.
package peers

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// Version is that of a note. One of another version is not understood, and passed over.
	Version = 1
	// MostNote is the platform's bound on a note, in bytes, and mostName that of a name: escaped it grows sixfold.
	MostNote, mostName = 256, 32
	// sayEvery is between notes of a relay that is away, and awayFor how long such a note holds: three in a row may be
	// lost.
	sayEvery, awayFor = 300 * time.Millisecond, 1200 * time.Millisecond
	// restartFor is how long the notes of a planned end hold: SIGKILL comes 3.7 s after SIGTERM, and the next process
	// 0.6 s later, which says that it is here.
	restartFor = 4500 * time.Millisecond
	// hereTimes notes say that a relay takes clients again.
	hereTimes = 4
)

// Note is what a relay says of itself.
type Note struct {
	Version int    `json:"v"`
	Name    string `json:"n"`
	At      int64  `json:"t"`           // milliseconds of Unix time: a note that was overtaken is passed over
	AwayMS  int64  `json:"a,omitempty"` // it takes no clients, for so long unless it says so again; 0: it does
}

// Encode writes a note.
func (n Note) Encode() []byte {
	b, err := json.Marshal(n)
	if err != nil || len(b) > MostNote {
		panic(fmt.Sprintf("peers: a note of %d bytes: %v", len(b), err)) // its name is bounded
	}
	return b
}

// Decode reads a note. What is not one, or not of this version, is an error.
func Decode(b []byte) (n Note, err error) {
	if len(b) > MostNote {
		return n, fmt.Errorf("peers: a note of %d bytes", len(b))
	}
	if err := json.Unmarshal(b, &n); err != nil {
		return n, fmt.Errorf("peers: %w", err)
	}
	switch {
	case n.Version != Version:
		return n, fmt.Errorf("peers: a note of version %d", n.Version)
	case n.Name == "" || len(n.Name) > mostName:
		return n, fmt.Errorf("peers: a name of %d bytes", len(n.Name))
	case n.AwayMS < 0 || n.AwayMS > restartFor.Milliseconds():
		return n, fmt.Errorf("peers: away for %d ms", n.AwayMS)
	}
	return n, nil
}

// heard is what is known of another relay.
type heard struct {
	at   int64     // of its last note
	away time.Time // until then; zero: it takes clients
}

// Table is what a relay knows of the others.
type Table struct {
	own    string
	relays int // that share the traffic, this one included
	by     map[string]heard
}

// NewTable makes the table of one of so many relays.
func NewTable(own string, relays int) *Table {
	return &Table{own: own, relays: relays, by: map[string]heard{}}
}

// Hear takes in a note. Its own, one that a later note of the same relay has overtaken, and those of more relays than there
// are change nothing.
func (t *Table) Hear(now time.Time, n Note) {
	before, known := t.by[n.Name]
	if n.Name == t.own || known && n.At <= before.at || !known && len(t.by) >= t.relays-1 {
		return
	}
	h := heard{at: n.At}
	if n.AwayMS > 0 {
		h.away = now.Add(time.Duration(n.AwayMS) * time.Millisecond)
	}
	t.by[n.Name] = h
}

// Present is how many relays take clients at a time, this one included whatever it does: it still sends what it holds.
func (t *Table) Present(now time.Time) int {
	n := t.relays
	for _, h := range t.by {
		if now.Before(h.away) {
			n--
		}
	}
	return max(1, n)
}

// Next is when Present changes by time alone; zero for never.
func (t *Table) Next(now time.Time) (at time.Time) {
	for _, h := range t.by {
		if now.Before(h.away) && (at.IsZero() || h.away.Before(at)) {
			at = h.away
		}
	}
	return at
}

// State is what a relay has to say.
type State int

// The states of a relay.
const (
	Here   State = iota // takes clients
	Away                // sends them away
	Ending              // and its process ends, to start again
)

// Speaker decides when a relay says what.
type Speaker struct {
	name string
	last State
	here int // notes left that say so
	next time.Time
	sent int64
}

// NewSpeaker makes the speaker of a relay whose process has just begun: it says that it is here, since the process before
// may have said that it leaves.
func NewSpeaker(name string) *Speaker {
	return &Speaker{name: name[:min(len(name), mostName)], here: hereTimes}
}

// Say gives the note that is due, if any, and when to ask again; zero: when the state changes.
func (s *Speaker) Say(now time.Time, state State) (n *Note, again time.Time) {
	if state != s.last {
		s.last, s.next, s.here = state, now, hereTimes
	}
	if state == Here && s.here == 0 {
		return nil, time.Time{}
	}
	if now.Before(s.next) {
		return nil, s.next
	}
	s.next = now.Add(sayEvery)
	// Never the time of a note before, so that none is taken for a copy.
	s.sent = max(s.sent+1, now.UnixMilli())
	n = &Note{Version: Version, Name: s.name, At: s.sent}
	switch state {
	case Here:
		s.here--
	case Away:
		n.AwayMS = awayFor.Milliseconds()
	case Ending:
		n.AwayMS = restartFor.Milliseconds()
	}
	return n, s.next
}
