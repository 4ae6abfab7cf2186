package socket

import (
	"context"
	"net"
	"time"

	"frostlink/internal/syserr"
	"frostlink/internal/wait"
)

// Dialer dials TCP connections. A connect that fails because of a shortage on this machine is retried
// within the timeout, since nothing was sent and the peer is not at fault.
type Dialer struct {
	net.Dialer
	// Timeout bounds all attempts together; 0: only the context bounds them.
	Timeout time.Duration
}

// DialContext connects to an address.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	backoff := syserr.Backoff{Min: minBackoff, Max: maxBackoff}
	for {
		c, err := d.Dialer.DialContext(ctx, network, address)
		if !isLocal(syserr.Connect, err) || !wait.For(ctx, backoff.Next()) {
			return c, err //nolint:wrapcheck // as net.Dialer's: its *net.OpError names operation and address
		}
	}
}
