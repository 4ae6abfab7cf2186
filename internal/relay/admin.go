package relay

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"frostlink/internal/admin"
	front "frostlink/internal/frontend/http1"
	"frostlink/internal/invariant"
	"frostlink/internal/servingmode"
	"frostlink/internal/socket"
)

// adminEndpoint is what operators reach of a relay.
type adminEndpoint struct {
	*admin.Server
	mode       *servingmode.Mode
	metrics    *admin.Metrics
	violations *invariant.Counts
	frontend   atomic.Pointer[front.Server]
	serving    atomic.Bool // clients are taken, and no planned end has begun
}

// openAdminEndpoint opens the operators' door, where the platform names an address for it. It answers from the start on, and says no
// until clients are taken.
func openAdminEndpoint(cfg *Config, stance *servingmode.Mode, book *admin.Metrics, violated *invariant.Counts) (*adminEndpoint, error) {
	d := &adminEndpoint{mode: stance, metrics: book, violations: violated}
	if cfg.Management == "" {
		return d, nil
	}
	listener, err := socket.Listen(cfg.Management)
	if err != nil {
		return nil, fmt.Errorf("the operators' door: %w", err)
	}
	d.Server = admin.New(d, cfg.maxAdminConns())
	go func() {
		if err := d.Serve(listener); err != nil {
			slog.Error("operators are not answered any more", "err", err)
		}
	}()
	return d, nil
}

// startServing says yes from now on: clients are taken.
func (d *adminEndpoint) startServing(srv *front.Server) {
	d.frontend.Store(srv)
	d.serving.Store(true)
	if away, _ := d.mode.InStandby(); away { // by the process before
		go srv.CloseIdleConns()
	}
}

func (d *adminEndpoint) close() {
	if d.Server != nil {
		d.Server.Close()
	}
}

// Status tells whether this process takes clients, and where it stands.
func (d *adminEndpoint) Status() (takes bool, state string) {
	switch state := d.mode.State(time.Now()); {
	case d.serving.Load():
		return true, state.String()
	case state == servingmode.ShuttingDown:
		return false, state.String()
	case d.frontend.Load() == nil:
		return false, "starting"
	}
	return false, "handed over"
}

// Standby sends clients away.
func (d *adminEndpoint) Standby() {
	slog.Info("standing by: clients are sent away")
	d.mode.EnterStandby(time.Now())
	if srv := d.frontend.Load(); srv != nil {
		go srv.CloseIdleConns()
	}
}

// Active takes clients again.
func (d *adminEndpoint) Active() {
	slog.Info("active: clients are taken again")
	d.mode.Activate()
}

// Metrics gives the figures as JSON.
func (d *adminEndpoint) Metrics() ([]byte, error) { return d.metrics.JSON() }

// Violations gives how often invariants were violated, by kind.
func (d *adminEndpoint) Violations() map[string]int64 { return d.violations.ByKind() }
