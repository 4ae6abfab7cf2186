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

// listenTimeout bounds how long a start waits for an address on which it can't listen: a relay has to be
// ready within 10 s.
const listenTimeout = 8 * time.Second

// Listen listens on a TCP address. Where this machine is short of something, or another process still
// has the address, it is repeated until listenTimeout: against a start that fails for a temporary error.
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
			slog.Warn("an address can't be listened on yet", logkey.Address, address, logkey.Err, err)
		}
	}
}
