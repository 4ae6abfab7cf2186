package socket

import (
	"context"
	"log/slog"
	"net"
	"time"

	"frostlink/internal/syserr"
	"frostlink/internal/wait"
)

// listenWithin bounds how long a start waits for an address that it can't listen on: a relay is to be ready within 10 s.
const listenWithin = 8 * time.Second

// Listen listens on a TCP address. What fails for want of something on this machine, or since another process still has the address, is
// tried again for a while: a start is not to fail for what passes.
func Listen(addr string) (net.Listener, error) {
	ctx, cancel := context.WithTimeout(context.Background(), listenWithin)
	defer cancel()
	pause := syserr.Backoff{Min: leastPause, Max: mostPause}
	said := false
	for {
		l, err := net.Listen("tcp", addr)
		if err == nil || syserr.Classify(syserr.Bind, err) != syserr.Local || !wait.For(ctx, pause.Next()) {
			return l, err
		}
		if !said {
			said = true
			slog.Warn("an address can't be listened on yet", "address", addr, "err", err)
		}
	}
}
