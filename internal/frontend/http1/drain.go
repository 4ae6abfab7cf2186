package http1

import (
	"context"
	"fmt"
	"time"

	"frostlink/internal/servingmode"
)

// drainPollInterval is between looks for connections to close while the relay is in standby.
const drainPollInterval = 100 * time.Millisecond

// CloseIdleConns closes connections without a request for as long as the relay is in standby. It
// returns at once if it is running already.
func (s *Server) CloseIdleConns() {
	if !s.beginDrain() {
		return
	}
	for s.drainOnce() {
		time.Sleep(drainPollInterval)
	}
}

func (s *Server) beginDrain() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := s.draining
	s.draining = true
	return !running
}

// drainOnce closes the connections that have been without a request for too long. It reports false
// where the relay is no longer in standby.
func (s *Server) drainOnce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if standby, _ := s.mode.InStandby(); !standby {
		s.draining = false
		return false
	}
	now := time.Now()
	limit, bounded := s.mode.IdleLimit(now)
	if !bounded {
		return true
	}
	for c := range s.conns {
		if c.isIdleFor(limit, now) {
			s.closeIfQuiet(c)
		}
	}
	return true
}

// isIdleFor reports whether a connection has been without a request for a limit.
func (c *conn) isIdleFor(limit time.Duration, now time.Time) bool {
	age := now.Sub(c.since)
	switch c.state {
	case connIdle:
		return age >= limit
	case connNew:
		return age >= max(limit, servingmode.MinIdle) // its first request may be on its way
	default:
		return false
	}
}

// closeIfQuiet closes a connection unless something has come that was not read: a request would be
// lost. s.mu is held.
func (s *Server) closeIfQuiet(c *conn) {
	if quiet, _ := c.quiet(); quiet {
		s.close(c, CloseDraining)
	}
}

// Shutdown closes the connections without a request in flight, and waits for the others until ctx
// ends: also for those whose last response is to arrive, which close by themselves. No connection
// is accepted any more.
func (s *Server) Shutdown(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConns = 0
	for len(s.conns) > 0 {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%d connections left: %w", len(s.conns), err)
		}
		if !s.evict(connIdle) {
			s.changed.Wait()
		}
	}
	return nil
}
