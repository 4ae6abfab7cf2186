package http1

import (
	"context"
	"fmt"
	"time"

	"frostlink/internal/servingmode"
)

// drainPollInterval is the interval between checks for connections to close during standby.
const drainPollInterval = 100 * time.Millisecond

// CloseIdleConns closes connections that have no request, until the relay leaves standby. It returns
// at once if another call is running.
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

// drainOnce closes the connections that have had no request for the serving mode's idle limit. It
// reports false if the relay is no longer in standby.
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

// isIdleFor reports whether a connection has had no request for at least limit.
func (c *conn) isIdleFor(limit time.Duration, now time.Time) bool {
	age := now.Sub(c.since)
	switch c.state {
	case connIdle:
		return age >= limit
	case connNew:
		return age >= max(limit, servingmode.MinIdle) // the first request may still be in transit
	default:
		return false
	}
}

// closeIfQuiet closes a connection unless it has bytes that are unread or being handled: they may be a request, which would be
// lost. s.mu is held.
func (s *Server) closeIfQuiet(c *conn) {
	if c.claimForEviction() {
		s.close(c, CloseDraining)
	}
}

// Shutdown stops accepting connections, closes those without a request in flight, and waits until the
// others are closed or ctx ends. The others include lingering connections, which close by themselves
// after a time in which their last response can arrive.
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
	s.servePending()
	for len(s.conns) > 0 {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%d client connections still open: %w", len(s.conns), err)
		}
		if !s.evict(connIdle) {
			s.changed.Wait()
		}
	}
	return nil
}
