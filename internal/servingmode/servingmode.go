// Package servingmode decides how a relay parts from its clients and takes them again, on the operators' word or at a planned
// end. It has no clock and closes nothing: the front asks it with the time.
//
// The front layer asks for health every 0.1 s and goes on sending new connections for 0.2 s more; clients use connections
// for as long as these are open. So health says no at once, what comes is served all the same, every answer is the last
// on its connection, and connections without a request are closed: soon those that rested, all before closeAll. What
// begins its request after that came on a connection of its own, and its answer ends it.
package servingmode

import (
	"sync"
	"time"
)

// The stages of leaving, from the operators' call on.
const (
	// CloseRested is when connections that have rested for Rested are closed: until then the front may send new ones,
	// and a client that has just been answered may be about to send.
	CloseRested = 600 * time.Millisecond
	// Rested without a request makes it unlikely that one is on its way.
	Rested = 400 * time.Millisecond
	// CloseAll is when all connections without a request are closed. At 4 s none may be held idle, nor carry a message
	// that began in the last 2 s.
	CloseAll = 1500 * time.Millisecond
)

// State is where a relay stands.
type State int

// The states of a relay.
const (
	Active State = iota
	Leaving
	StandingBy
	Ending // the process is about to end: nothing undoes it
)

func (s State) String() string {
	return [...]string{"active", "leaving", "standing by", "ending"}[s]
}

// Stance is a relay's stance to its clients. Its zero value is active; it is safe for concurrent use.
type Stance struct {
	mu     sync.Mutex
	away   bool
	ending bool
	since  time.Time // of away
}

// Leave sends clients away from now on; said again it changes nothing.
func (s *Stance) Leave(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away {
		s.away, s.since = true, now
	}
}

// Return takes clients again, at any point of leaving.
func (s *Stance) Return() {
	s.mu.Lock()
	s.away = false
	s.mu.Unlock()
}

// End begins the planned end of the process.
func (s *Stance) End() {
	s.mu.Lock()
	s.ending = true
	s.mu.Unlock()
}

// State is where the relay stands at a time.
func (s *Stance) State(now time.Time) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ending:
		return Ending
	case !s.away:
		return Active
	case now.Sub(s.since) < CloseAll:
		return Leaving
	}
	return StandingBy
}

// Away tells whether clients are sent away by the operators, and since when; a planned end is not that.
func (s *Stance) Away() (away bool, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away, s.since
}

// Healthy tells whether clients may be sent here. At a planned end health says yes until the listener closes: the platform
// knows, and stops sending by itself.
func (s *Stance) Healthy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.away
}

// LastAnswer tells whether an answer is the last on its connection.
func (s *Stance) LastAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away || s.ending
}

// MayRest is for how long a connection may go on without a request at a time, and whether that is bounded at all.
func (s *Stance) MayRest(now time.Time) (rest time.Duration, bounded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch after := now.Sub(s.since); {
	case !s.away, after < CloseRested:
		return 0, false
	case after < CloseAll:
		return Rested, true
	}
	return 0, true
}
