package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/faultinjection/faults"
)

// The bounds of a rehearsal of the coordination service.
const mostRuns, mostRehearsed = 1000, 300

func coordRehearse() *cobra.Command {
	var o faults.Options
	var runs, beside int
	var asJSON, folder string
	var unfenced bool
	c := &cobra.Command{
		Use:   "rehearse",
		Short: "Start members and relays as processes, cause drawn faults between them, and judge their acts",
		Long: "Start members of the coordination service and relays as real processes on loopback, with proxies between all of them. The relays want\n" +
			"one lease, and its holder acts upon a stand-in, again and again. Meanwhile holders, relays and members are killed and stopped,\n" +
			"cut off both ways or one way, slowed and reset, and disks take nothing more, as drawn from a seed. Checked: accepted acts of two\n" +
			"holders never overlap, tokens only grow, acts of processes that did not stand still never overlap at all, somebody acts in the end.\n" +
			"With --unfenced the stand-in looks at no token: then a holder that is stopped for longer than its lease shows an overlap.\n" +
			"Exit codes: 0 fine, 1 a run failed, 2 could not run.",
		Example: "  frostlinkctl coord rehearse --runs 5\n  frostlinkctl coord rehearse --runs 200 --beside 4 --relays 40",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			switch {
			case runs < 1 || runs > mostRuns:
				return fmt.Errorf("--runs: %d is not from 1 to %d", runs, mostRuns)
			case o.Relays < 2 || o.Relays > mostRehearsed:
				return fmt.Errorf("--relays: %d is not from 2 to %d", o.Relays, mostRehearsed)
			case o.Members != 1 && o.Members != 3 && o.Members != 5:
				return fmt.Errorf("--members: %d is not 1, 3 or 5", o.Members)
			case beside < 1 || beside > 16:
				return fmt.Errorf("--beside: %d is not from 1 to 16", beside)
			case o.TTL < 500*time.Millisecond || o.TTL > time.Minute:
				return fmt.Errorf("--ttl: %v is not from 500ms to 1m", o.TTL)
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			o.RelayPath, o.CoordinatorPath = filepath.Join(filepath.Dir(self), "frostlink"), filepath.Join(filepath.Dir(self), "frostlink-coord")
			for _, program := range []string{o.RelayPath, o.CoordinatorPath} {
				if _, err := os.Stat(program); err != nil {
					return fmt.Errorf("the program beside this one: %w", err)
				}
			}
			o.Fenced = !unfenced
			if err := os.MkdirAll(folder, 0o700); err != nil {
				return err
			}
			results, err := rehearseCoord(c.Context(), folder, o, runs, beside)
			if err != nil {
				return err
			}
			if asJSON != "" {
				err = cli.WriteJSON(c.OutOrStdout(), asJSON, results)
			}
			out := c.OutOrStdout()
			if asJSON == "-" {
				out = io.Discard
			}
			if failed := printRuns(out, results); err == nil && failed > 0 {
				return cli.ErrFindings
			}
			return err
		},
	}
	f := c.Flags()
	f.IntVar(&runs, "runs", 1, "`runs` to play, by seeds one after the other")
	f.IntVar(&beside, "beside", 1, "`runs` to play at once")
	f.Uint64Var(&o.Seed, "seed", 1, "first `seed`")
	f.IntVar(&o.Members, "members", 3, "`members` of the service")
	f.IntVar(&o.Relays, "relays", 40, "`relays`")
	f.DurationVar(&o.TTL, "ttl", time.Second, "`time` that a session lasts")
	f.DurationVar(&o.Length, "length", 30*time.Second, "`time` in which faults are caused")
	f.BoolVar(&unfenced, "unfenced", false, "have the stand-in look at no token")
	f.StringVar(&folder, "folder", filepath.Join(os.TempDir(), "frostlink-coord-rehearsals"), "`folder` for the runs; what a failed one leaves stays there")
	f.StringVar(&asJSON, "json", "", "write the results as JSON to this `file`; - is standard output, and nothing else then")
	return c
}

// rehearseCoord plays runs, some at once.
func rehearseCoord(ctx context.Context, folder string, o faults.Options, runs, beside int) ([]faults.Result, error) {
	results := make([]faults.Result, runs)
	errs := make([]error, runs)
	next := make(chan int)
	var work sync.WaitGroup
	for range beside {
		work.Go(func() {
			for i := range next {
				one := o
				one.Seed += uint64(i)
				results[i], errs[i] = faults.RunIn(ctx, folder, one)
			}
		})
	}
	for i := range runs {
		next <- i
	}
	close(next)
	work.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// printRuns prints results, and counts those that failed. A run on which the machine was too busy says nothing.
func printRuns(out io.Writer, results []faults.Result) (failed int) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "seed\tmembers\trelays\tacts\taccepted\tgrants\trig late s\tverdict\t")
	var takeovers []float64
	for _, r := range results {
		verdict := "kept"
		switch {
		case r.Void:
			verdict = "void"
		case len(r.Violations) > 0:
			verdict = "failed"
			failed++
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%s\t\n", r.Seed, r.Members, r.Relays, r.Executions, r.Accepted, r.Grants, r.MaxLatenessSeconds, verdict)
		takeovers = append(takeovers, r.TakeoverSeconds...)
	}
	_ = w.Flush()
	for _, r := range results {
		for _, f := range r.Violations {
			fmt.Fprintf(out, "seed %d: %s: %s (%s)\n", r.Seed, f.Check, f.Detail, r.Dir)
		}
	}
	if slices.Sort(takeovers); len(takeovers) > 0 {
		at := func(q float64) float64 { return takeovers[int(q*float64(len(takeovers)-1))] }
		fmt.Fprintf(out, "from a holder's death to the next act, %d times: p50 %.2f s, p99 %.2f s, most %.2f s\n", len(takeovers), at(0.5), at(0.99), at(1))
	}
	return failed
}
