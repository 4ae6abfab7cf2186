package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"frostlink/internal/faultinjection/checker"
)

// adminTimeout bounds a request to an admin endpoint, and a health check of a relay.
const adminTimeout = time.Second

// Paths that the harness requests from relays and from their admin endpoints.
const (
	healthPath  = "/_health"
	statusPath  = "/status"
	metricsPath = "/status/metrics"
	standbyPath = "/standby"
	activePath  = "/active"
)

// singleUseClient opens a connection for each request, so that none stays open to a process that is about to end.
var singleUseClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// adminRequest makes a request to the process's admin endpoint, and returns the body of the response.
func (p *process) adminRequest(method, path string) (body []byte, err error) {
	ctx, cancel := context.WithTimeout(p.relay.h.ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.adminAddr+path, nil)
	if err != nil {
		return nil, fmt.Errorf("admin endpoint: %w", err)
	}
	resp, err := singleUseClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("admin endpoint: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if body, err = io.ReadAll(resp.Body); err != nil {
		return nil, fmt.Errorf("admin endpoint: %w", err)
	}
	if resp.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s %s: %s", method, path, resp.Status)
	}
	return body, nil
}

// metrics reads the process's metrics.
func (p *process) metrics() (*checker.Scrape, error) {
	body, err := p.adminRequest(http.MethodGet, metricsPath)
	if err != nil {
		return nil, err
	}
	scrape, decoder := &checker.Scrape{}, json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(scrape); err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	return scrape, nil
}

// health returns the status with which the relay answers the load balancer's health check.
func (r *relay) health(ctx context.Context) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.listen+healthPath, nil)
	if err != nil {
		return 0, fmt.Errorf("health check: %w", err)
	}
	resp, err := singleUseClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("health check: %w", err)
	}
	if err := resp.Body.Close(); err != nil {
		return resp.StatusCode, fmt.Errorf("health check: %w", err)
	}
	return resp.StatusCode, nil
}

// isHealthy reports whether the relay passes a health check.
func (r *relay) isHealthy() bool {
	ctx, cancel := context.WithTimeout(r.h.ctx, adminTimeout)
	defer cancel()
	status, err := r.health(ctx)
	return err == nil && status == http.StatusOK
}
