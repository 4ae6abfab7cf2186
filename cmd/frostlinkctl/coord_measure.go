package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/coord"
)

// Upper bounds of the flags of coord measure.
const (
	maxMeasuredSessions = 2000
	maxMeasuredTime     = time.Minute
)

// coordMeasureFlags are the flags of coord measure.
type coordMeasureFlags struct {
	service  *coordService
	sessions int
	leases   int
	duration time.Duration // the duration of each of the two measurements of renewals
}

func coordMeasureCommand(s *coordService) *cobra.Command {
	f := &coordMeasureFlags{service: s}
	c := newServiceCall(&cobra.Command{
		Use:   "measure",
		Short: "Measure how many leases a service grants and renews, and how long a renewal takes",
		Long: "Open sessions, distribute leases over them, renew all sessions as fast as possible and then each once a second, and close them. Use\n" +
			"this command only on a service that is not in use, because the measurement loads the members fully.",
		Example: "  frostlinkctl coord measure --sessions 300 --leases 10000 --operator deploy/frostlink.toml",
		Args:    cobra.NoArgs,
	}, s, f.measure, printMeasurement)
	c.Flags().IntVar(&f.sessions, "sessions", 300, "number of `sessions` to open")
	c.Flags().IntVar(&f.leases, "leases", 1000, "number of `leases` to hold")
	c.Flags().DurationVar(&f.duration, "for", 5*time.Second, "`duration` of each of the two measurements of renewals")
	return c
}

func (f *coordMeasureFlags) measure(c *cobra.Command, _ []string) (measurement, error) {
	if err := f.check(); err != nil {
		return measurement{}, err
	}
	return newMeasuredSessions(f.service, f.sessions).measure(c.Context(), f.leases, f.duration)
}

// check checks the flags against their bounds.
func (f *coordMeasureFlags) check() error {
	if err := checkBounds("sessions", f.sessions, 1, maxMeasuredSessions); err != nil {
		return err
	}
	if err := checkBounds("leases", f.leases, 1, coord.MaxLeases); err != nil {
		return err
	}
	if f.duration <= 0 || f.duration > maxMeasuredTime {
		return fmt.Errorf("--for: %v is not above 0 and at most %v", f.duration, maxMeasuredTime)
	}
	return nil
}

func printMeasurement(out io.Writer, m measurement) error {
	fmt.Fprintf(out, "%d leases granted to %d sessions in %.2f s: %.0f a second\n", m.Leases, m.Sessions, m.GrantSeconds, m.GrantsPerSecond)
	fmt.Fprintf(out, "renewals as fast as they go: %.0f a second, p50 %.2f ms, p99 %.2f ms\n", m.RenewalsPerSecond, m.RenewalMs[0], m.RenewalMs[1])
	fmt.Fprintf(out, "one a second and session: p50 %.2f ms, p99 %.2f ms\n", m.PacedRenewalMs[0], m.PacedRenewalMs[1])
	fmt.Fprintf(out, "the state has %d bytes\n", m.SnapshotBytes)
	return nil
}
