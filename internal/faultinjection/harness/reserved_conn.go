package harness

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// reservedConns is the number of connections that clients keep for requests during a shutdown.
	reservedConns = 8
	// reserveTimeout bounds the opening of these connections, which delays the shutdown.
	reserveTimeout = 100 * time.Millisecond
)

// healthCheck is a request that leaves its connection idle.
const healthCheck = "GET /_health HTTP/1.1\r\nHost: service.internal\r\n\r\n"

// reservedConn is a client's idle connection that is used only from a time on.
type reservedConn struct {
	*clientConn
	usableFrom time.Time
}

// reserve opens connections to a relay that is about to shut down, and has them used at random times until the process may be killed.
func (c *clientPool) reserve(addr string, random *rand.Rand) {
	now := time.Now()
	deadline := now.Add(reserveTimeout)
	var opened sync.WaitGroup
	for i := range reservedConns {
		after := (float64(i) + random.Float64()) / reservedConns * float64(shutdownGrace)
		opened.Go(func() {
			if conn, err := c.openIdle(addr, deadline); err == nil { // a relay in a crowd may refuse it
				c.addReserved(addr, reservedConn{conn, now.Add(time.Duration(after))})
			}
		})
	}
	opened.Wait()
}

// openIdle opens a connection to a relay and makes a health check on it, so that it is idle.
func (c *clientPool) openIdle(addr string, deadline time.Time) (*clientConn, error) {
	conn, err := c.dialWithin(addr, time.Until(deadline))
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(deadline) // fails only on a closed connection, on which the write fails too
	if err := conn.checkHealth(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	conn.reused = true
	return conn, nil
}

// checkHealth makes a health check, after which the connection stays open.
func (c *clientConn) checkHealth() error {
	if _, err := io.WriteString(c, healthCheck); err != nil {
		return fmt.Errorf("health check: %w", err)
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return fmt.Errorf("health check: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // it is empty
	if resp.Close {
		return io.EOF
	}
	return nil
}

func (c *clientPool) addReserved(addr string, conn reservedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return
	}
	c.reserved[addr] = append(c.reserved[addr], conn)
}

// usableReserved returns the index of a reserved connection to a relay that may be used now, or -1. The lock is held.
func (c *clientPool) usableReserved(addr string) int {
	now := time.Now()
	return slices.IndexFunc(c.reserved[addr], func(conn reservedConn) bool { return !now.Before(conn.usableFrom) })
}

// takeReserved returns a reserved connection to a relay that may be used now, or nil.
func (c *clientPool) takeReserved(addr string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.usableReserved(addr)
	if i < 0 {
		return nil
	}
	conn := c.reserved[addr][i].clientConn
	c.reserved[addr] = slices.Delete(c.reserved[addr], i, i+1)
	return conn
}

// dropReserved closes the reserved connections to a relay whose process has ended.
func (c *clientPool) dropReserved(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.reserved[addr] {
		_ = conn.Close()
	}
	delete(c.reserved, addr)
}
