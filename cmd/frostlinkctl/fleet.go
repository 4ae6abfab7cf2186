package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/faultinjection/simulation"
	"frostlink/internal/trace/fleet"
)

// mostNamed bad lines are named one by one in print; all of them are in the JSON.
const mostNamed = 20

func fleetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "fleet",
		Short:   "Count what all relays of a fleet did together",
		Long:    "What is harmless at one relay may be harmful when all do it. These commands look at the sum.",
		Example: "  frostlinkctl fleet count logs",
	}
	c.AddCommand(fleetCount(), fleetFollow(), fleetPlay())
	return c
}

// readTraces reads a fleet's logs, which must hold some trace and none of another version.
func readTraces(paths []string) (*fleet.Logs, error) {
	logs, err := fleet.ReadFiles(paths)
	switch {
	case err != nil:
		return nil, err
	case logs.OtherVersion != nil:
		return nil, errors.New(logs.OtherVersion.String())
	case len(logs.Events) == 0 && len(logs.BadLines) == 0:
		return nil, fmt.Errorf("%s: no trace in %d lines; turn it on with [trace] log = true in the operator's file", paths[0], logs.OtherLines)
	}
	return logs, nil
}

func fleetCount() *cobra.Command {
	var asJSON string
	c := &cobra.Command{
		Use:   "count LOG...",
		Short: "Count a fleet's traces by second and by destination",
		Long: "Count the traces of a fleet's relays, written with [trace] log = true in the operator's file, by second and by\n" +
			"destination. A LOG is one relay's log, or a folder with a *.log for each relay.\n" +
			"Exit codes: 0 fine, 1 some lines could not be used and are named, 2 could not run.",
		Example: "  frostlinkctl fleet count logs --json table.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			logs, err := readTraces(args)
			if err != nil {
				return err
			}
			summary := fleet.Summarize(logs.Events)
			out := c.OutOrStdout()
			if asJSON != "" {
				err = cli.WriteJSON(out, asJSON, struct {
					*fleet.Summary
					Bad   []fleet.BadLine `json:"bad_lines"`
					Other int             `json:"other_lines"`
				}{summary, logs.BadLines, logs.OtherLines})
			}
			if asJSON != "-" {
				printFleet(out, summary)
				fmt.Fprintf(out, "\n%d events of %d relays (%d in the fleet by their settings), %d other lines, %d that could not be used\n",
					len(logs.Events), summary.Relays, summary.FleetSize, logs.OtherLines, len(logs.BadLines))
				for _, b := range logs.BadLines[:min(len(logs.BadLines), mostNamed)] {
					fmt.Fprintln(out, b)
				}
			}
			if err == nil && len(logs.BadLines) > 0 {
				return cli.ErrFindings
			}
			return err
		},
	}
	c.Flags().StringVar(&asJSON, "json", "", "write the table as JSON to this `file`; - is standard output, and nothing else then")
	return c
}

// mostRelays and mostPlays bound what is played at one call: a thousand relays take some minutes a day.
const mostRelays, mostPlays = 1000, 100

func fleetPlay() *cobra.Command {
	var asJSON string
	var sizes []int
	var days []string
	var plays int
	var first int64
	var drawn bool
	c := &cobra.Command{
		Use:   "play",
		Short: "Play whole fleets in virtual time, and table cost and benefit by their size",
		Long: "Play days of whole fleets in virtual time: the relays' real decisions among models of partners and of an overbooked\n" +
			"register, judged by the auditor that judges rehearsals. The days: " + strings.Join(simulation.DayNames, ", ") + ". Traffic, limits and\n" +
			"hosts grow with the relays; what one host takes does not. With --drawn each seed draws its own sizes, shares, limits and times\n" +
			"of trouble, by kind: " + strings.Join(simulation.DrawnDayNames, ", ") + ". A play in which something is wrong is named by its seed.\n" +
			"Exit codes: 0 fine, 1 a rule was broken (without --drawn also: a partner was pushed over), 2 could not run.",
		Example: "  frostlinkctl fleet play --relays 1,3,12,80 --day herd --plays 3\n" +
			"  frostlinkctl fleet play --drawn --relays 300 --plays 17             # a hundred drawn days, about 6 minutes on 6 cores\n" +
			"  frostlinkctl fleet play --drawn --relays 300 --day zone --plays 1 --seed 8    # one of them again",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if plays < 1 || plays > mostPlays {
				return fmt.Errorf("--plays: %d is not from 1 to %d", plays, mostPlays)
			}
			for _, n := range sizes {
				if n < 1 || n > mostRelays {
					return fmt.Errorf("--relays: %d is not from 1 to %d", n, mostRelays)
				}
			}
			maker := simulation.NewDay
			if drawn {
				maker = simulation.NewDrawnDay
				if !c.Flags().Changed("day") {
					days = simulation.DrawnDayNames
				}
			}
			rows := []simulation.Summary{}
			found := false
			for _, day := range days {
				for _, n := range sizes {
					if err := c.Context().Err(); err != nil {
						return err
					}
					row, err := simulation.Measure(maker, day, n, plays, first)
					if err != nil {
						return fmt.Errorf("--day: %w", err)
					}
					// On drawn days a partner may be pushed over by relays that had not seen it out, which breaks no rule.
					found = found || row.Failures > 0 || row.Overloads > 0 && !drawn
					rows = append(rows, row)
				}
			}
			var err error
			if asJSON != "" {
				err = cli.WriteJSON(c.OutOrStdout(), asJSON, rows)
			}
			if asJSON != "-" {
				printRows(c.OutOrStdout(), days, rows)
			}
			if err == nil && found {
				return cli.ErrFindings
			}
			return err
		},
	}
	f := c.Flags()
	f.IntSliceVar(&sizes, "relays", []int{1, 2, 3, 12, 80, 160}, "numbers of `relays`")
	f.StringSliceVar(&days, "day", simulation.DayNames, "`days` to play")
	f.IntVar(&plays, "plays", 3, "`plays` of each, by seeds one after the other; figures are their means")
	f.Int64Var(&first, "seed", 1, "first `seed`")
	f.BoolVar(&drawn, "drawn", false, "draw each day from its seed")
	f.StringVar(&asJSON, "json", "", "write the table as JSON to this `file`; - is standard output, and nothing else then")
	return c
}

// printRows prints the plays, and how their figures grow with the number of relays.
func printRows(out io.Writer, days []string, rows []simulation.Summary) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "day\trelays\tworth\tspread\trefused/msg\tdoor/msg\tconnections/msg\tasks/relay\tasks/s most\tfalls\tfaults\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.0f\t%d\t%d\t\n", r.Day, r.Relays, r.DeliveredWeight, r.StdDev, r.Rejected, r.ConnectionRejected,
			r.Connections, r.Polls, r.PeakPolls, r.Overloads, r.Failures)
	}
	_ = w.Flush()
	for _, r := range rows {
		for _, p := range r.FailedRuns {
			fmt.Fprintf(out, "%s of %d, seed %d: %d partners pushed over, %d rules broken\n", r.Day, r.Relays, p.Seed, p.Overloads, len(p.Failures))
			for _, f := range p.Failures {
				fmt.Fprintf(out, "  %s\n", f)
			}
		}
	}
	for _, day := range days {
		var of []simulation.Summary
		for _, r := range rows {
			if r.Day == day {
				of = append(of, r)
			}
		}
		asks := simulation.GrowthExponent(of, func(r simulation.Summary) float64 { return r.Polls * float64(r.Relays) })
		peak := simulation.GrowthExponent(of, func(r simulation.Summary) float64 { return r.PeakPolls })
		made := simulation.GrowthExponent(of, func(r simulation.Summary) float64 { return r.Connections })
		if !math.IsNaN(asks) {
			fmt.Fprintf(out, "%s: asks grow as relays^%.2f, their peak as relays^%.2f, connections a message as relays^%.2f\n", day, asks, peak, made)
		}
	}
}

const countsHead = "first\tagain\tdelivered\tlimit\tdoor\tunmade\tother\tfresh\ttaken\trefused\tlate\tback\tfailed\t"

func printCounts(w io.Writer, c *fleet.Counts) {
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", c.FirstAttempts, c.Retries, c.Delivered, c.OverLimit,
		c.ConnectionsRejected, c.ConnectFailures, c.OtherFailures, c.NewConnections, c.Accepted, c.Rejected, c.DeliveredLate, c.Deferred, c.Undeliverable)
}

// printFleet prints the table by second, by destination, and the outages.
func printFleet(out io.Writer, t *fleet.Summary) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "second\tstarts\tasks\tturned\ttold\t"+countsHead)
	for i := range t.Seconds {
		s := &t.Seconds[i]
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t", s.At, s.Starts, s.WatchRequests, s.EmptyWatches, s.EndpointUpdates)
		printCounts(w, &s.Counts)
	}
	_ = w.Flush()
	fmt.Fprintln(out)
	fmt.Fprintln(w, "dest\thosts\trelays\tlimit/s\tleft\t"+countsHead)
	for i := range t.Destinations {
		d := &t.Destinations[i]
		fmt.Fprintf(w, "%d\t%d\t%d\t%.1f\t%.2f\t", d.Number, d.Endpoints, d.Relays, d.RateLimit, d.RemainingFraction)
		printCounts(w, &d.Counts)
	}
	fmt.Fprint(w, "all\t\t\t\t\t")
	printCounts(w, &t.Total)
	_ = w.Flush()
	for _, d := range t.Destinations {
		for _, o := range d.Outages {
			fmt.Fprintf(out, "\ndestination %d out from %.1f to %.1f s: %d calls by %d relays; within 3 s of its return %d calls by %d, %d of them without word of it\n",
				d.Number, o.From, o.To, o.Attempts, o.Relays, o.RecoveryAttempts, o.RecoveryRelays, o.UnawareRelays)
		}
	}
}
