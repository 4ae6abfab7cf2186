package relay

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"frostlink/internal/admin"
	front "frostlink/internal/frontend/http1"
	"frostlink/internal/invariant"
	"frostlink/internal/servingmode"
	"frostlink/internal/socket"
)

// listen gives the clients' listening socket: the one that the platform holds and hands to every process, or one of our
// own. Closing it ends this process's hold alone.
func listen(cfg *Config) (net.Listener, error) {
	if cfg.ListenFD <= 0 {
		return socket.Listen(cfg.Listen)
	}
	// The descriptor itself stays open: if a process that took over dies, this one listens again.
	fd, err := unix.FcntlInt(uintptr(cfg.ListenFD), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", cfg.ListenFD, err)
	}
	f := os.NewFile(uintptr(fd), "clients' socket")
	defer f.Close() // what follows has a descriptor of its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", cfg.ListenFD, err)
	}
	return l, nil
}

// door is what operators reach of a relay.
type door struct {
	*admin.Server
	stance   *servingmode.Mode
	book     *admin.Metrics
	violated *invariant.Counts
	front    atomic.Pointer[front.Server]
	taking   atomic.Bool // clients are taken, and no planned end has begun
}

// openDoor opens the operators' door, where the platform names an address for it. It answers from the start on, and says no
// until clients are taken.
func openDoor(cfg *Config, stance *servingmode.Mode, book *admin.Metrics, violated *invariant.Counts) (*door, error) {
	d := &door{stance: stance, book: book, violated: violated}
	if cfg.Management == "" {
		return d, nil
	}
	listener, err := socket.Listen(cfg.Management)
	if err != nil {
		return nil, fmt.Errorf("the operators' door: %w", err)
	}
	d.Server = admin.New(d, cfg.doorRoom())
	go func() {
		if err := d.Serve(listener); err != nil {
			slog.Error("operators are not answered any more", "err", err)
		}
	}()
	return d, nil
}

// open says yes from now on: clients are taken.
func (d *door) open(srv *front.Server) {
	d.front.Store(srv)
	d.taking.Store(true)
	if away, _ := d.stance.InStandby(); away { // by the process before
		go srv.CloseIdleConns()
	}
}

func (d *door) close() {
	if d.Server != nil {
		d.Server.Close()
	}
}

// Status tells whether this process takes clients, and where it stands.
func (d *door) Status() (takes bool, state string) {
	switch state := d.stance.State(time.Now()); {
	case d.taking.Load():
		return true, state.String()
	case state == servingmode.ShuttingDown:
		return false, state.String()
	case d.front.Load() == nil:
		return false, "starting"
	}
	return false, "handed over"
}

// Standby sends clients away.
func (d *door) Standby() {
	slog.Info("standing by: clients are sent away")
	d.stance.EnterStandby(time.Now())
	if srv := d.front.Load(); srv != nil {
		go srv.CloseIdleConns()
	}
}

// Active takes clients again.
func (d *door) Active() {
	slog.Info("active: clients are taken again")
	d.stance.Activate()
}

// Metrics gives the figures as JSON.
func (d *door) Metrics() ([]byte, error) { return d.book.JSON() }

// Violations gives how often invariants were violated, by kind.
func (d *door) Violations() map[string]int64 { return d.violated.ByKind() }

// taken has the figures count a message as taken on; resends are none of the clients'.
func (l *loop) taken(m *message) {
	if !m.Redelivery {
		m.inflight = true
		l.book.Accepted()
	}
}

// count has the figures count a message's end, once.
func (l *loop) count(m *message, end admin.Outcome) {
	if !m.Redelivery && !m.counted {
		m.counted = true
		l.book.Completed(m.Class, end, m.inflight)
	}
}
