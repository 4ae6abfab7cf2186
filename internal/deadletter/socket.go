package deadletter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
)

// Serve answers the tool on a Unix socket of mode 0600 until ctx ends. A socket that an earlier process left behind is
// taken over; one that answers is not.
func Serve(ctx context.Context, path string, a *Admin) error {
	if c, err := net.Dial("unix", path); err == nil {
		_ = c.Close()
		return fmt.Errorf("undelivered: socket %s: %w", path, ErrInUse)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return fmt.Errorf("undelivered: socket %s: a file that is no socket is there", path)
		}
		if err := os.Remove(path); err != nil {
			return fmt.Errorf("undelivered: %w", err)
		}
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		_ = ln.Close()
		return fmt.Errorf("undelivered: %w", err)
	}
	srv := &http.Server{Handler: a.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("undelivered: socket %s: %w", path, err)
	}
	return nil
}
