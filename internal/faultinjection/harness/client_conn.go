package harness

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// idleConnShare bounds clients' idle connections to one relay as a share of its descriptors.
const idleConnShare = 1.0 / 3

// clientConn is a client's connection to a relay.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool // the connection has been idle, so the relay may close it while a request is written
}

// takeIdle returns an idle connection to a relay, or nil.
func (c *clientPool) takeIdle(addr string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idleConns[addr]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	c.idleConns[addr] = idle[:last]
	return idle[last]
}

// hasIdle reports whether there is an idle connection to a relay. The relay may have closed it.
func (c *clientPool) hasIdle(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idleConns[addr]) > 0 || c.usableReserved(addr) >= 0
}

// takeOpen returns an idle connection that the relay has not closed, or nil.
func (c *clientPool) takeOpen(addr string) *clientConn {
	for {
		conn := c.takeReserved(addr)
		if conn == nil {
			conn = c.takeIdle(addr)
		}
		if conn == nil || conn.isOpen() {
			return conn
		}
		_ = conn.Close()
	}
}

// dial opens a connection to a relay.
func (c *clientPool) dial(addr string) (*clientConn, error) {
	return c.dialWithin(addr, c.responseTimeout())
}

func (c *clientPool) dialWithin(addr string, timeout time.Duration) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, fmt.Errorf("connect to a relay: %w", err)
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// putIdle keeps a connection for a later message, or closes it if enough connections are idle.
func (c *clientPool) putIdle(addr string, conn *clientConn) {
	conn.reused = true
	_ = conn.SetDeadline(time.Time{}) // fails only on a closed connection, which the next exchange detects
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idleConns[addr]) >= int(idleConnShare*float64(c.h.scenario.Relay.Sockets)) {
		_ = conn.Close()
		return
	}
	c.idleConns[addr] = append(c.idleConns[addr], conn)
}

// openConns returns the number of idle connections that a relay has not closed, and drops the closed ones.
func (c *clientPool) openConns(addr string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []*clientConn
	for _, conn := range c.idleConns[addr] {
		if conn.isOpen() {
			open = append(open, conn)
		} else {
			_ = conn.Close()
		}
	}
	c.idleConns[addr] = open
	return len(open)
}

// isOpen reports whether the relay has neither closed an idle connection nor written to it.
func (c *clientConn) isOpen() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond)) // fails only on a closed connection, on which Peek fails as well
	if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	_ = c.SetReadDeadline(time.Time{})
	return true
}

// close closes all idle connections. A connection in use is closed when its exchange ends.
func (c *clientPool) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, reserved := range c.reserved {
		for _, conn := range reserved {
			_ = conn.Close()
		}
	}
	for _, idle := range c.idleConns {
		for _, conn := range idle {
			_ = conn.Close()
		}
	}
}
