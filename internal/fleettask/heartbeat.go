package fleettask

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"frostlink/internal/lease"
)

// HeartbeatLease is the name of the heartbeat's lease.
const HeartbeatLease = "beat"

// Headers of a heartbeat. A monitor that remembers the highest token it has received rejects the
// late heartbeat of a relay that was paused until another relay had the lease.
const (
	HeaderToken = "Fencing-Token"
	HeaderRelay = "Relay"
)

// ErrFenced is returned when the monitor has received a higher token: another relay holds the
// lease.
var ErrFenced = errors.New("heartbeat rejected: the monitor has received a higher fencing token")

const (
	// actRetryDelay is the pause after an act was not allowed. It is short because the lease is
	// about to be renewed.
	actRetryDelay = 20 * time.Millisecond
	// maxHeaderSize bounds the header of the monitor's response, in bytes.
	maxHeaderSize = 8 << 10
)

// heartbeat informs a monitor that the fleet is alive: one relay at a time sends POST requests with
// its fencing token.
type heartbeat struct {
	section *Heartbeat
	relay   string
	client  *http.Client
}

func newHeartbeat(section *Heartbeat, relay string) *heartbeat {
	// A second response to an earlier heartbeat must not hide that the monitor has rejected the token of this one.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderSize}}
	return &heartbeat{section: section, relay: relay, client: client}
}

func heartbeatTask(section *Heartbeat, relay string) lease.Task {
	h := newHeartbeat(section, relay)
	return lease.Task{
		Lease: HeartbeatLease, Reason: "tells " + section.URL + " that the fleet lives", Guard: lease.Fenced("the monitor"),
		Interval: section.Interval(), Run: h.run,
	}
}

// run sends heartbeats until the lease is lost or the monitor rejects the token.
func (h *heartbeat) run(ctx context.Context, hold *lease.Hold) error {
	for {
		act, err := hold.Act(ctx, h.section.Timeout())
		pause := actRetryDelay
		if err == nil {
			err = h.post(act.Ctx, act.Token) //nolint:contextcheck // act.Ctx is derived from ctx, and cancelled when the act has to end
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

// post sends one heartbeat. A lost heartbeat is not repeated, since the next one follows.
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
	if resp.StatusCode == http.StatusConflict {
		return ErrFenced
	}
	return nil
}
