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
	// CloseIdleAfter is when connections that have rested for Rested are closed: until then the front may send new ones,
	// and a client that has just been answered may be about to send.
	CloseIdleAfter = 600 * time.Millisecond
	// MinIdle without a request makes it unlikely that one is on its way.
	MinIdle = 400 * time.Millisecond
	// CloseAllAfter is when all connections without a request are closed. At 4 s none may be held idle, nor carry a message
	// that began in the last 2 s.
	CloseAllAfter = 1500 * time.Millisecond
)

// State is where a relay stands.
type State int

// The states of a relay.
const (
	Active State = iota
	DrainingClients
	Standby
	ShuttingDown // the process is about to end: nothing undoes it
)

func (s State) String() string {
	return [...]string{"active", "leaving", "standing by", "ending"}[s]
}

// Mode is a relay's stance to its clients. Its zero value is active; it is safe for concurrent use.
type Mode struct {
	mu     sync.Mutex
	away   bool
	ending bool
	since  time.Time // of away
}

// EnterStandby sends clients away from now on; said again it changes nothing.
func (s *Mode) EnterStandby(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away {
		s.away, s.since = true, now
	}
}

// Activate takes clients again, at any point of leaving.
func (s *Mode) Activate() {
	s.mu.Lock()
	s.away = false
	s.mu.Unlock()
}

// Shutdown begins the planned end of the process.
func (s *Mode) Shutdown() {
	s.mu.Lock()
	s.ending = true
	s.mu.Unlock()
}

// State is where the relay stands at a time.
func (s *Mode) State(now time.Time) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ending:
		return ShuttingDown
	case !s.away:
		return Active
	case now.Sub(s.since) < CloseAllAfter:
		return DrainingClients
	}
	return Standby
}

// InStandby tells whether clients are sent away by the operators, and since when; a planned end is not that.
func (s *Mode) InStandby() (away bool, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away, s.since
}

// Healthy tells whether clients may be sent here. At a planned end health says yes until the listener closes: the platform
// knows, and stops sending by itself.
func (s *Mode) Healthy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.away
}

// CloseAfterResponse tells whether an answer is the last on its connection.
func (s *Mode) CloseAfterResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away || s.ending
}

// IdleLimit is for how long a connection may go on without a request at a time, and whether that is bounded at all.
func (s *Mode) IdleLimit(now time.Time) (rest time.Duration, bounded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch after := now.Sub(s.since); {
	case !s.away, after < CloseIdleAfter:
		return 0, false
	case after < CloseAllAfter:
		return MinIdle, true
	}
	return 0, true
}
