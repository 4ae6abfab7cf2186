package socket

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"frostlink/internal/logkey"
	"frostlink/internal/syserr"
	"frostlink/internal/wait"
)

// listenTimeout bounds the time for which Listen retries. It is below the 10 s within which a relay has
// to be ready after its start.
const listenTimeout = 8 * time.Second

// Listen listens on a TCP address. It retries until listenTimeout if there is a shortage on this machine
// or another process still uses the address, so that a temporary error does not fail the start.
func Listen(address string) (net.Listener, error) {
	ctx, cancel := context.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	backoff := syserr.Backoff{Min: minBackoff, Max: maxBackoff}
	logged := false
	for {
		l, err := net.Listen("tcp", address)
		if err == nil {
			return l, nil
		}
		if !isLocal(syserr.Bind, err) || !wait.For(ctx, backoff.Next()) {
			return nil, fmt.Errorf("socket: %w", err)
		}
		if !logged {
			logged = true
			slog.Warn("cannot listen on address; retrying", logkey.Address, address, logkey.Err, err)
		}
	}
}
