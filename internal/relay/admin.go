package relay

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"frostlink/internal/admin"
	front "frostlink/internal/frontend/http1"
	"frostlink/internal/invariant"
	"frostlink/internal/logkey"
	"frostlink/internal/servingmode"
	"frostlink/internal/socket"
)

// adminEndpoint is the relay's HTTP endpoint for operators: status, metrics and the serving mode.
type adminEndpoint struct {
	server     *admin.Server // nil if the configuration has no address for it
	mode       *servingmode.Mode
	metrics    *admin.Metrics
	violations *invariant.Counts
	extra      admin.ResponseCounts // responses that nobody asked for
	doubtful   admin.ResponseCounts // responses that may belong to another request than the one in flight
	frontend   atomic.Pointer[front.Server]
	serves     atomic.Pointer[node] // whose resources are reported; nil: none serves yet
	serving    atomic.Bool          // clients are served and no graceful shutdown has begun
}

// openAdminEndpoint opens the admin endpoint, if the configuration has an address for it. Until startServing is called, the
// endpoint answers that the relay does not serve.
func openAdminEndpoint(cfg *Config, mode *servingmode.Mode, metrics *admin.Metrics, violations *invariant.Counts) (*adminEndpoint, error) {
	a := &adminEndpoint{mode: mode, metrics: metrics, violations: violations}
	if cfg.AdminAddress == "" {
		return a, nil
	}
	listener, err := socket.Listen(cfg.AdminAddress)
	if err != nil {
		return nil, fmt.Errorf("admin endpoint: %w", err)
	}
	a.server = admin.New(a, cfg.maxAdminConns())
	go func() {
		if err := a.server.Serve(listener); err != nil {
			slog.Error("admin endpoint stopped serving", logkey.Err, err)
		}
	}()
	return a, nil
}

// startServing makes the endpoint report that clients are served by frontend.
func (a *adminEndpoint) startServing(frontend *front.Server) {
	a.frontend.Store(frontend)
	a.serving.Store(true)
	if standby, _ := a.mode.InStandby(); standby { // the relay was in standby when a predecessor handed it over
		go frontend.CloseIdleConns()
	}
}

func (a *adminEndpoint) close() {
	if a.server != nil {
		a.server.Close()
	}
}

// Status returns whether this process serves clients, and its state.
func (a *adminEndpoint) Status() (serving bool, state string) {
	switch state := a.mode.State(time.Now()); {
	case a.serving.Load():
		return true, state.String()
	case state == servingmode.ShuttingDown:
		return false, state.String()
	case a.frontend.Load() == nil:
		return false, "starting"
	}
	return false, "handed over"
}

// Standby puts the relay in standby: the health check fails, and clients' connections are closed in stages.
func (a *adminEndpoint) Standby() {
	slog.Info("entered standby: client connections are being drained")
	a.mode.EnterStandby(time.Now())
	if frontend := a.frontend.Load(); frontend != nil {
		go frontend.CloseIdleConns()
	}
}

// Active ends standby.
func (a *adminEndpoint) Active() {
	slog.Info("left standby: clients are served again")
	a.mode.Activate()
}

// Metrics returns the metrics as JSON.
func (a *adminEndpoint) Metrics() ([]byte, error) { return a.metrics.JSON() }

// Violations returns the number of invariant violations, by kind.
func (a *adminEndpoint) Violations() map[string]int64 { return a.violations.ByKind() }

// ExtraResponses returns the number of responses that nobody asked for, by endpoint and by how they were noticed.
func (a *adminEndpoint) ExtraResponses() map[string]map[string]int { return a.extra.ByEndpoint() }

// DoubtfulResponses returns the number of responses that could not be told from another request's, by endpoint and by reason.
func (a *adminEndpoint) DoubtfulResponses() map[string]map[string]int { return a.doubtful.ByEndpoint() }
