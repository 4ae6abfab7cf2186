package socket

import (
	"context"
	"net"
	"time"

	"frostlink/internal/syserr"
	"frostlink/internal/wait"
)

// leastPause and mostPause bound the pause before a connection is tried again that this machine had no means for: ports, buffers and
// routes come back in milliseconds, and a message has seconds.
const leastPause, mostPause = 5 * time.Millisecond, 50 * time.Millisecond

// Dialer makes TCP connections. What fails for want of something on this machine is tried again within the timeout: the other side has
// not heard of it, and is not to be taken for out.
type Dialer struct {
	net.Dialer
	// Timeout bounds all tries together; 0: the context does.
	Timeout time.Duration
}

// DialContext connects to an address.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	pause := syserr.Backoff{Min: leastPause, Max: mostPause}
	for {
		c, err := d.Dialer.DialContext(ctx, network, addr)
		if err == nil || syserr.Classify(syserr.Connect, err) != syserr.Local || !wait.For(ctx, pause.Next()) {
			return c, err
		}
	}
}
