package servingmode

import (
	"sync"
	"time"
)

// The stages of a drain, from EnterStandby on.
const (
	// CloseIdleAfter is when connections that were idle for MinIdle are closed. Until then the front layer may send new ones, and
	// a client that has just had a response may be about to send its next request.
	CloseIdleAfter = 600 * time.Millisecond
	// MinIdle is how long a connection is idle before it is unlikely that a request is on its way.
	MinIdle = 400 * time.Millisecond
	// CloseAllAfter is when all idle connections are closed. By the platform's rules none may be open idle at 4 s, nor carry a
	// request that began in the last 2 s.
	CloseAllAfter = 1500 * time.Millisecond
)

// State is the state of a relay towards its clients.
type State int

// The states; their transitions are in the package's comment.
const (
	Active State = iota
	DrainingClients
	Standby
	ShuttingDown // the process is about to exit
)

// String returns the state's name as GET /status of the admin endpoint shows it.
func (s State) String() string {
	return [...]string{"active", "leaving", "standing by", "ending"}[s]
}

// Mode holds the state of one relay. Its zero value is Active. It is safe for concurrent use.
type Mode struct {
	mu           sync.Mutex // guards all below
	standby      bool       // EnterStandby was called, and Activate was not since
	shuttingDown bool
	drainStart   time.Time // when standby was set
}

// EnterStandby stops serving clients, as of now. In standby already it changes nothing.
func (m *Mode) EnterStandby(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.standby {
		m.standby, m.drainStart = true, now
	}
}

// Activate serves clients again.
func (m *Mode) Activate() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.standby = false
}

// Shutdown begins the graceful shutdown of the process. Nothing undoes it.
func (m *Mode) Shutdown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shuttingDown = true
}

// State returns the state at a time.
func (m *Mode) State(now time.Time) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.shuttingDown:
		return ShuttingDown
	case !m.standby:
		return Active
	case now.Sub(m.drainStart) < CloseAllAfter:
		return DrainingClients
	}
	return Standby
}

// InStandby reports whether operators have stopped the serving of clients, and since when; a graceful shutdown is not that.
func (m *Mode) InStandby() (standby bool, since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.standby, m.drainStart
}

// Healthy reports whether the front layer may send clients here. At a graceful shutdown health stays yes until the listener closes:
// the platform has asked for it, and stops sending by itself.
func (m *Mode) Healthy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.standby
}

// CloseAfterResponse reports whether a response is the last on its connection.
func (m *Mode) CloseAfterResponse() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.standby || m.shuttingDown
}

// IdleLimit returns how long a connection may be idle at a time, and whether that is limited at all.
func (m *Mode) IdleLimit(now time.Time) (limit time.Duration, limited bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch draining := now.Sub(m.drainStart); {
	case !m.standby, draining < CloseIdleAfter:
		return 0, false
	case draining < CloseAllAfter:
		return MinIdle, true
	}
	return 0, true
}
