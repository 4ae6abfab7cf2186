package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
)

// measured is what a service bore.
type measured struct {
	Sessions int        `json:"sessions"`
	Leases   int        `json:"leases"`
	Granting float64    `json:"granting_s"`     // for all leases
	Grants   float64    `json:"grants_s"`       // a second
	Renewals float64    `json:"renewals_s"`     // a second, as fast as they go
	Renew    [2]float64 `json:"renew_ms"`       // p50 and p99 of one at that pace
	Calm     [2]float64 `json:"calm_renew_ms"`  // the same at a renewal a second and session
	Bytes    int64      `json:"snapshot_bytes"` // of the state
}

// The bounds of a measurement.
const mostMeasured, mostFor = 2000, time.Minute

func (s *service) measureCommand() *cobra.Command {
	var sessions, leases int
	var span time.Duration
	c := s.command(&cobra.Command{
		Use:   "measure",
		Short: "Measure how many leases a service grants and renews, and how long a renewal takes",
		Long: "Open sessions, spread leases over them, renew all sessions as fast as they go and then once a second each, and close them again. For a\n" +
			"service that serves nobody yet: it takes all that the members have.",
		Example: "  frostlinkctl coord measure --sessions 300 --leases 10000 --operator deploy/frostlink.toml",
		Args:    cobra.NoArgs,
	}, func(c *cobra.Command, _ []string) (any, error) {
		switch {
		case sessions < 1 || sessions > mostMeasured:
			return nil, fmt.Errorf("--sessions: %d is not from 1 to %d", sessions, mostMeasured)
		case leases < 1 || leases > coord.MaxLeases:
			return nil, fmt.Errorf("--leases: %d is not from 1 to %d", leases, coord.MaxLeases)
		case span <= 0 || span > mostFor:
			return nil, fmt.Errorf("--for: %v is not up to %v", span, mostFor)
		}
		return s.measure(c.Context(), sessions, leases, span)
	}, func(out io.Writer, v any) error {
		m := v.(measured)
		fmt.Fprintf(out, "%d leases granted to %d sessions in %.2f s: %.0f a second\n", m.Leases, m.Sessions, m.Granting, m.Grants)
		fmt.Fprintf(out, "renewals as fast as they go: %.0f a second, p50 %.2f ms, p99 %.2f ms\n", m.Renewals, m.Renew[0], m.Renew[1])
		fmt.Fprintf(out, "one a second and session: p50 %.2f ms, p99 %.2f ms\n", m.Calm[0], m.Calm[1])
		fmt.Fprintf(out, "the state has %d bytes\n", m.Bytes)
		return nil
	})
	f := c.Flags()
	f.IntVar(&sessions, "sessions", 300, "`sessions` to open")
	f.IntVar(&leases, "leases", 1000, "`leases` to hold")
	f.DurationVar(&span, "for", 5*time.Second, "`time` of each of the two measurements of renewals")
	return c
}

// measure measures. Each session's calls come one after the other, as a client's do.
func (s *service) measure(ctx context.Context, sessions, leases int, span time.Duration) (measured, error) {
	m := measured{Sessions: sessions, Leases: leases}
	// From here on the member that leads is called, first.
	if _, err := s.lead(ctx, api.PathRead, api.Request{Query: &api.Query{}}); err != nil {
		return m, err
	}
	for _, a := range s.ask(ctx) {
		if a.Member.ID == a.Status.Member.Leader {
			i := slices.IndexFunc(s.members, func(x coord.Member) bool { return x.ID == a.Member.ID })
			s.members[0], s.members[i] = s.members[i], s.members[0]
		}
	}
	ids := make([]uint64, sessions)
	each := func(do func(i int) error) error {
		var work sync.WaitGroup
		errs := make([]error, sessions)
		for i := range sessions {
			work.Go(func() { errs[i] = do(i) })
		}
		work.Wait()
		for _, err := range errs {
			if err != nil {
				return err
			}
		}
		return ctx.Err()
	}
	err := each(func(i int) error {
		r, err := s.change(ctx, coord.Command{Op: coord.OpOpen, Nonce: rand.Text(), Name: fmt.Sprint("measure-", i), TTL: 2 * time.Minute})
		ids[i] = r.Session
		return err
	})
	if err != nil {
		return m, err
	}
	prefix := "measure-" + rand.Text()
	begun := time.Now()
	if err = each(func(i int) error {
		for seq, n := uint64(1), i; n < leases; seq, n = seq+1, n+sessions {
			if _, err := s.change(ctx, coord.Command{Op: coord.OpAcquire, Session: ids[i], Seq: seq, Lease: fmt.Sprint(prefix, "/", n)}); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		return m, err
	}
	m.Granting = time.Since(begun).Seconds()
	m.Grants = float64(leases) / m.Granting
	if m.Renewals, m.Renew, err = s.renewals(ctx, ids, span, 0, each); err != nil {
		return m, err
	}
	if _, m.Calm, err = s.renewals(ctx, ids, span, time.Second, each); err != nil {
		return m, err
	}
	raw, err := s.caller.Snapshot(ctx, s.members[0].Address)
	if err != nil {
		return m, err
	}
	m.Bytes = int64(len(raw))
	return m, each(func(i int) error {
		_, err := s.change(ctx, coord.Command{Op: coord.OpClose, Session: ids[i]})
		return err
	})
}

// renewals renews all sessions for a while, each so often, and gives the pace and two quantiles in ms.
func (s *service) renewals(ctx context.Context, ids []uint64, span, every time.Duration, each func(func(i int) error) error) (float64, [2]float64, error) {
	var count atomic.Int64
	took := make([][]float64, len(ids))
	begun := time.Now()
	err := each(func(i int) error {
		if every > 0 { // not all at once
			time.Sleep(every * time.Duration(i) / time.Duration(len(ids)))
		}
		for time.Since(begun) < span {
			sent := time.Now()
			if _, err := s.change(ctx, coord.Command{Op: coord.OpRenew, Session: ids[i]}); err != nil {
				return err
			}
			took[i] = append(took[i], time.Since(sent).Seconds()*1000)
			count.Add(1)
			if every > 0 {
				time.Sleep(every - time.Since(sent))
			}
		}
		return nil
	})
	list := slices.Concat(took...)
	if err != nil || len(list) == 0 {
		return 0, [2]float64{}, err
	}
	slices.Sort(list)
	at := func(q float64) float64 { return list[int(q*float64(len(list)-1))] }
	return float64(count.Load()) / time.Since(begun).Seconds(), [2]float64{at(0.5), at(0.99)}, nil
}
