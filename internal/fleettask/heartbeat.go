package fleettask

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"frostlink/internal/lease"
)

// HeartbeatLease is the lease of the heartbeat.
const HeartbeatLease = "beat"

// The headers of a heartbeat. A monitor that remembers the highest token it has seen rejects what a
// relay sends that was paused until after another had taken its place.
const (
	HeaderToken = "Fencing-Token"
	HeaderRelay = "Relay"
)

// ErrFenced says that the monitor has seen a higher token: another relay holds the lease.
var ErrFenced = errors.New("the monitor has seen a later holder")

const (
	// actRetryDelay is the wait after an act was not allowed, since the lease is about to be
	// renewed.
	actRetryDelay = 20 * time.Millisecond
	// maxDiscarded is how much of the monitor's answer is read, so that the connection can be
	// reused.
	maxDiscarded = 4096
)

// heartbeat tells a monitor that the fleet is alive: one relay at a time, by a POST with its
// fencing token.
type heartbeat struct {
	section *Heartbeat
	relay   string
	client  *http.Client
}

func heartbeatTask(section *Heartbeat, relay string) lease.Task {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	h := &heartbeat{section: section, relay: relay, client: client}
	return lease.Task{
		Lease: HeartbeatLease, Reason: "tells " + section.URL + " that the fleet lives", Guard: lease.Fenced("the monitor"),
		Interval: section.Interval(), Run: h.run,
	}
}

// run sends heartbeats while the lease is held and the monitor accepts its token.
func (h *heartbeat) run(ctx context.Context, hold *lease.Hold) error {
	for {
		act, err := hold.Act(ctx, h.section.Timeout())
		pause := actRetryDelay
		if err == nil {
			err = h.post(act.Ctx, act.Token) //nolint:contextcheck // act.Ctx is ctx, cancelled when the act has to end
			act.End()
			pause = h.section.Interval()
		}
		if errors.Is(err, ErrFenced) {
			return err
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return fmt.Errorf("heartbeat: %w", ctx.Err())
		}
	}
}

// post sends one heartbeat. Where it is lost, the next one follows.
func (h *heartbeat) post(ctx context.Context, token uint64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.section.URL, strings.NewReader("alive\n"))
	if err != nil {
		return fmt.Errorf("heartbeat: %w", err)
	}
	req.Header.Set(HeaderToken, strconv.FormatUint(token, 10))
	req.Header.Set(HeaderRelay, h.relay)
	resp, err := h.client.Do(req)
	if err != nil {
		return fmt.Errorf("heartbeat: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscarded)) // so that the connection is reused
	if resp.StatusCode == http.StatusConflict {
		return ErrFenced
	}
	return nil
}
