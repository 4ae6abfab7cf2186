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

// BeatLease is the lease of the beat.
const BeatLease = "beat"

// The headers of a beat. A monitor that keeps the highest token it has seen refuses what a relay sends that was
// paused until after another had taken its place.
const (
	HeaderToken = "Fencing-Token"
	HeaderRelay = "Relay"
)

// ErrFenced is the end of a turn in which the monitor has seen a higher token: another relay holds the lease.
var ErrFenced = errors.New("the monitor has seen a later holder")

// retryAct is after an act was refused since the lease is about to be renewed.
const retryAct = 20 * time.Millisecond

// beat makes the task that tells a monitor that the fleet lives: one relay at a time, a POST now and then, with the
// token.
func beat(b *Beat, relay string) lease.Task {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	return lease.Task{
		Lease: BeatLease, Reason: "tells " + b.URL + " that the fleet lives", Guard: lease.Fenced("the monitor"),
		Interval: b.Every(), Run: func(ctx context.Context, h *lease.Hold) error {
			for {
				act, err := h.Act(ctx, b.Within())
				pause := retryAct
				if err == nil {
					err = post(act.Ctx, client, b.URL, relay, act.Token)
					act.End()
					pause = b.Every()
				}
				if errors.Is(err, ErrFenced) {
					return err
				}
				select {
				case <-time.After(pause):
				case <-ctx.Done():
					return ctx.Err()
				}
			}
		},
	}
}

// post sends one beat. Whether it arrived does not matter: the next one comes.
func post(ctx context.Context, client *http.Client, url, relay string, token uint64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("alive\n"))
	if err != nil {
		return err
	}
	req.Header.Set(HeaderToken, strconv.FormatUint(token, 10))
	req.Header.Set(HeaderRelay, relay)
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("beat: %w", err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096)) // so that the connection serves again
	if resp.StatusCode == http.StatusConflict {
		return ErrFenced
	}
	return nil
}
