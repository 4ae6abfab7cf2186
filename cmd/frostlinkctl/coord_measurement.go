package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
)

const (
	// measuredTTL is the time to live of the sessions, so long that none expires while leases are granted.
	measuredTTL = 2 * time.Minute
	// pacedInterval is the time between two renewals of a session in the measurement with paced renewals.
	pacedInterval = time.Second
)

// latencyQuantiles are the median and the 99th percentile of latencies, in ms.
type latencyQuantiles [2]float64

// measurement holds the measured performance of a coordination service.
type measurement struct {
	Sessions          int              `json:"sessions"`
	Leases            int              `json:"leases"`
	GrantSeconds      float64          `json:"granting_s"` // for all leases together
	GrantsPerSecond   float64          `json:"grants_s"`
	RenewalsPerSecond float64          `json:"renewals_s"`    // at the maximum rate
	RenewalMs         latencyQuantiles `json:"renew_ms"`      // latencies at the maximum rate
	PacedRenewalMs    latencyQuantiles `json:"calm_renew_ms"` // latencies at one renewal per session per second
	SnapshotBytes     int64            `json:"snapshot_bytes"`
}

// measuredSessions are the sessions of a measurement. Each session makes one call at a time, as a client does; the sessions call
// concurrently.
type measuredSessions struct {
	service *coordService
	ids     []uint64
}

func newMeasuredSessions(s *coordService, count int) *measuredSessions {
	return &measuredSessions{service: s, ids: make([]uint64, count)}
}

// measure opens the sessions, acquires leases in them, renews them at the maximum rate and then once per pacedInterval, and closes them.
func (s *measuredSessions) measure(ctx context.Context, leases int, duration time.Duration) (measurement, error) {
	m := measurement{Sessions: len(s.ids), Leases: leases}
	if err := s.service.putLeaderFirst(ctx); err != nil {
		return m, err
	}
	if err := s.open(ctx); err != nil {
		return m, err
	}
	begin := time.Now()
	if err := s.acquire(ctx, leases); err != nil {
		return m, err
	}
	m.GrantSeconds = time.Since(begin).Seconds()
	m.GrantsPerSecond = float64(leases) / m.GrantSeconds
	var err error
	if m.RenewalsPerSecond, m.RenewalMs, err = s.renew(ctx, duration, 0); err != nil {
		return m, err
	}
	if _, m.PacedRenewalMs, err = s.renew(ctx, duration, pacedInterval); err != nil {
		return m, err
	}
	state, err := s.service.caller.Snapshot(ctx, s.service.members[0].Address)
	if err != nil {
		return m, err
	}
	m.SnapshotBytes = int64(len(state))
	return m, s.close(ctx)
}

// putLeaderFirst moves the leader to the front of the member list, so that each call goes directly to it.
func (s *coordService) putLeaderFirst(ctx context.Context) error {
	if _, err := s.read(ctx, api.Query{}); err != nil { // returns once there is a leader
		return err
	}
	for _, status := range s.memberStatuses(ctx) {
		if status.Member.ID == status.Status.Member.Leader {
			i := slices.IndexFunc(s.members, func(m coord.Member) bool { return m.ID == status.Member.ID })
			s.members[0], s.members[i] = s.members[i], s.members[0]
		}
	}
	return nil
}

// forEach calls do for all sessions concurrently.
func (s *measuredSessions) forEach(ctx context.Context, do func(index int) error) error {
	if err := firstError(runConcurrently(len(s.ids), len(s.ids), do)); err != nil {
		return err
	}
	return ctx.Err() //nolint:wrapcheck // the error needs no context
}

func (s *measuredSessions) open(ctx context.Context) error {
	return s.forEach(ctx, func(i int) error {
		result, err := s.service.apply(ctx, coord.Command{Op: coord.OpOpen, Nonce: rand.Text(), Name: fmt.Sprint("measure-", i), TTL: measuredTTL})
		s.ids[i] = result.Session
		return err
	})
}

// acquire distributes uncontended leases over the sessions in turn.
func (s *measuredSessions) acquire(ctx context.Context, leases int) error {
	prefix := "measure-" + rand.Text()
	return s.forEach(ctx, func(i int) error {
		seq := uint64(0)
		for lease := i; lease < leases; lease += len(s.ids) {
			seq++
			command := coord.Command{Op: coord.OpAcquire, Session: s.ids[i], Seq: seq, Lease: fmt.Sprint(prefix, "/", lease)}
			if _, err := s.service.apply(ctx, command); err != nil {
				return err
			}
		}
		return nil
	})
}

// renew renews all sessions for the given duration, each once per interval, or as fast as possible if the interval is 0. It returns the
// renewals per second and the quantiles of their latencies.
func (s *measuredSessions) renew(ctx context.Context, duration, interval time.Duration) (float64, latencyQuantiles, error) {
	var count atomic.Int64
	latencies := make([][]float64, len(s.ids))
	begin := time.Now()
	err := s.forEach(ctx, func(i int) error {
		time.Sleep(interval * time.Duration(i) / time.Duration(len(s.ids))) // paced renewals are spread over the interval
		for time.Since(begin) < duration {
			sent := time.Now()
			if _, err := s.service.apply(ctx, coord.Command{Op: coord.OpRenew, Session: s.ids[i]}); err != nil {
				return err
			}
			latencies[i] = append(latencies[i], time.Since(sent).Seconds()*1000)
			count.Add(1)
			time.Sleep(interval - time.Since(sent)) // returns at once if the interval is 0 or has passed
		}
		return nil
	})
	all := slices.Concat(latencies...)
	if err != nil || len(all) == 0 {
		return 0, latencyQuantiles{}, err
	}
	slices.Sort(all)
	return float64(count.Load()) / time.Since(begin).Seconds(), latencyQuantiles{quantile(all, 0.5), quantile(all, 0.99)}, nil
}

func (s *measuredSessions) close(ctx context.Context) error {
	return s.forEach(ctx, func(i int) error {
		_, err := s.service.apply(ctx, coord.Command{Op: coord.OpClose, Session: s.ids[i]})
		return err
	})
}
