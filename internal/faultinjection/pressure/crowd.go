package pressure

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// reconnectDelay is the time after which a hostile client opens a new connection in place of one that was closed.
	reconnectDelay = 20 * time.Millisecond
	// connectTimeout bounds the opening of a connection.
	connectTimeout = 2 * time.Second
)

// Behavior is what a hostile client does on a connection, until the connection is closed. n is different for each connection.
type Behavior func(ctx context.Context, conn net.Conn, n int64)

// Crowd is a number of hostile clients.
type Crowd struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
	// Connected is the number of connections that were opened.
	Connected atomic.Int64
}

// NewCrowd starts a crowd that connects to an address. The clients take the behaviors in turn.
func NewCrowd(address string, clients int, behaviors ...Behavior) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{cancel: cancel}
	for i := range clients {
		c.clients.Go(func() { c.run(ctx, address, behaviors[i%len(behaviors)]) })
	}
	return c
}

// Close disconnects all clients.
func (c *Crowd) Close() {
	c.cancel()
	c.clients.Wait()
}

func (c *Crowd) run(ctx context.Context, address string, behave Behavior) {
	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: connectTimeout}
		if conn, err := dialer.DialContext(ctx, "tcp", address); err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			behave(ctx, conn, c.Connected.Add(1))
			stop()
			_ = conn.Close()
		}
		sleep(ctx, reconnectDelay)
	}
}

// sleep waits, at most until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
