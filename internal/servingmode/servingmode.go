package servingmode

import (
	"sync"
	"time"
)

// The stages of a drain. CloseIdleAfter and CloseAllAfter are measured from EnterStandby.
const (
	// CloseIdleAfter is the time from which connections that were idle for MinIdle are closed. Before it, the front layer may still
	// send new connections, and a client that has just received a response may be about to send its next request.
	CloseIdleAfter = 600 * time.Millisecond
	// MinIdle is the idle time of a connection after which it is unlikely that a request is on its way.
	MinIdle = 400 * time.Millisecond
	// CloseAllAfter is the time from which all idle connections are closed. It is less than 2 s because of a rule of the platform:
	// 4 s after EnterStandby no connection may be idle, and none may carry a request that began less than 2 s before.
	CloseAllAfter = 1500 * time.Millisecond
)

// State describes whether and how a relay serves its clients.
type State int

// The states. Their transitions are in the package's documentation.
const (
	Active State = iota
	DrainingClients
	Standby
	ShuttingDown // the process is about to exit
)

// String returns the name of the state in the response to GET /status of the admin endpoint.
func (s State) String() string {
	return [...]string{"active", "leaving", "standing by", "ending"}[s]
}

// Mode contains the serving state of one relay. Its zero value is in the state Active. It is safe for concurrent use.
type Mode struct {
	mu           sync.Mutex // guards the fields below
	standby      bool       // EnterStandby was called, and Activate has not been called since
	shuttingDown bool
	drainStart   time.Time // the time at which standby was set
}

// EnterStandby stops serving clients, and starts the drain at the time now. It has no effect if standby was already entered.
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

// Shutdown begins the graceful shutdown of the process. It can't be undone.
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

// InStandby reports whether an operator has stopped the serving of clients, and since when. A graceful shutdown alone does not count
// as standby.
func (m *Mode) InStandby() (standby bool, since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.standby, m.drainStart
}

// Healthy reports whether the front layer may send clients to this process. A graceful shutdown does not change the result, so the
// health check passes until the listener closes: the platform has requested the shutdown, and stops sending clients by itself.
func (m *Mode) Healthy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.standby
}

// CloseAfterResponse reports whether connections have to be closed after their next response.
func (m *Mode) CloseAfterResponse() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.standby || m.shuttingDown
}

// IdleLimit returns how long a connection may be idle at the time now. limited is false if there is no limit.
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
