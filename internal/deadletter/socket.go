package deadletter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
)

// Serve serves operators' requests on a Unix socket of mode 0600 until the context is cancelled. It replaces a socket that
// an earlier process left behind. If another process listens on the socket, the error is ErrInUse.
func Serve(ctx context.Context, path string, admin *Admin) error {
	if conn, err := net.Dial("unix", path); err == nil {
		_ = conn.Close()
		return fmt.Errorf("undelivered: socket %s: %w", path, ErrInUse)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return fmt.Errorf("undelivered: socket %s: the path is a file that is not a socket", path)
		}
		if err := os.Remove(path); err != nil {
			return fmt.Errorf("undelivered: %w", err)
		}
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		_ = listener.Close()
		return fmt.Errorf("undelivered: %w", err)
	}
	server := &http.Server{Handler: admin.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("undelivered: socket %s: %w", path, err)
	}
	return nil
}
