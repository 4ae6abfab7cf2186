package relay

import (
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"

	"frostlink/internal/socket"
)

// openListener returns the clients' listening socket: the one that the platform holds and hands to every process, or one of
// the relay's own. To close it ends this process's hold alone.
func openListener(cfg *Config) (net.Listener, error) {
	if cfg.ListenFD <= 0 {
		return socket.Listen(cfg.Listen)
	}
	// The descriptor itself stays open: if a successor dies, this process listens again.
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
