package relay

import (
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"

	"frostlink/internal/socket"
)

// openListener returns the clients' listening socket: a duplicate of the socket that the platform holds and passes to every
// process, or a new socket. Closing it closes neither the platform's socket nor another process's duplicate.
func openListener(cfg *Config) (net.Listener, error) {
	if cfg.ListenFD <= 0 {
		return socket.Listen(cfg.Listen)
	}
	// The inherited descriptor itself stays open, so that this process can listen again if a successor dies.
	fd, err := unix.FcntlInt(uintptr(cfg.ListenFD), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", cfg.ListenFD, err)
	}
	f := os.NewFile(uintptr(fd), "clients' socket")
	defer func() { _ = f.Close() }() // the listener has a descriptor of its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", cfg.ListenFD, err)
	}
	return l, nil
}
