package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/trace/fleet"
)

// fleetCountFlags are the flags of fleet count.
type fleetCountFlags struct {
	jsonFile string
}

// countedFleet is the JSON output of fleet count.
type countedFleet struct {
	*fleet.Summary
	BadLines   []fleet.BadLine `json:"bad_lines"`
	OtherLines int             `json:"other_lines"`
}

func fleetCountCommand() *cobra.Command {
	var f fleetCountFlags
	c := &cobra.Command{
		Use:   "count LOG...",
		Short: "Count a fleet's traced events by second and by destination",
		Long: "Count the events that a fleet's relays traced, with [trace] log = true in the operator's file, by second and by\n" +
			"destination. A LOG is one relay's log, or a folder with a *.log for each relay.\n" +
			"Exit codes: 0 success, 1 some lines could not be used and are listed, 2 could not run.",
		Example: "  frostlinkctl fleet count logs --json table.json",
		Args:    cobra.MinimumNArgs(1),
		RunE:    f.run,
	}
	addJSONFlag(c, &f.jsonFile, "the table")
	return c
}

func (f *fleetCountFlags) run(c *cobra.Command, paths []string) error {
	logs, err := readTraces(paths)
	if err != nil {
		return err
	}
	counted := countedFleet{Summary: fleet.Summarize(logs.Events), BadLines: logs.BadLines, OtherLines: logs.OtherLines}
	err = writeResult(c.OutOrStdout(), f.jsonFile, counted, func(out io.Writer) { counted.print(out, len(logs.Events)) })
	if err != nil {
		return err
	}
	return findings(len(logs.BadLines) > 0)
}

// print prints the tables by second and by destination, the outages, and the numbers of events and of other lines in the logs.
func (f *countedFleet) print(out io.Writer, events int) {
	printSeconds(out, f.Seconds)
	fmt.Fprintln(out)
	printDestinations(out, f.Summary)
	for _, destination := range f.Destinations {
		for _, o := range destination.Outages {
			fmt.Fprintf(out, "\ndestination %d out from %.1f to %.1f s: %d calls by %d relays; within 3 s of its return %d calls by %d, %d of them without word of it\n",
				destination.Number, o.From, o.To, o.Attempts, o.Relays, o.RecoveryAttempts, o.RecoveryRelays, o.UnawareRelays)
		}
	}
	fmt.Fprintf(out, "\n%d events of %d relays (%d in the fleet by their settings), %d other lines, %d that could not be used\n",
		events, f.Relays, f.FleetSize, f.OtherLines, len(f.BadLines))
	printBadLines(out, f.BadLines)
}

// countsHeader is the header of the columns that printCounts prints.
const countsHeader = "first\tagain\tdelivered\tlimit\tdoor\tunmade\tother\tfresh\ttaken\trefused\tlate\tback\tfailed\t"

// printCounts prints the counts that end each row of all tables.
func printCounts(table io.Writer, c *fleet.Counts) {
	fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", c.FirstAttempts, c.Retries, c.Delivered, c.OverLimit,
		c.ConnectionsRejected, c.ConnectFailures, c.OtherFailures, c.NewConnections, c.Accepted, c.Rejected, c.DeliveredLate, c.Deferred, c.Undeliverable)
}

func printSeconds(out io.Writer, seconds []fleet.Second) {
	table := newNumberTable(out)
	fmt.Fprintln(table, "second\tstarts\tasks\tturned\ttold\t"+countsHeader)
	for i := range seconds {
		s := &seconds[i]
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t", s.At, s.Starts, s.WatchRequests, s.EmptyWatches, s.EndpointUpdates)
		printCounts(table, &s.Counts)
	}
	_ = table.Flush() // a write error, such as a closed pipe, does not change the exit code
}

func printDestinations(out io.Writer, summary *fleet.Summary) {
	table := newNumberTable(out)
	fmt.Fprintln(table, "dest\thosts\trelays\tlimit/s\tleft\t"+countsHeader)
	for i := range summary.Destinations {
		d := &summary.Destinations[i]
		fmt.Fprintf(table, "%d\t%d\t%d\t%.1f\t%.2f\t", d.Number, d.Endpoints, d.Relays, d.RateLimit, d.RemainingFraction)
		printCounts(table, &d.Counts)
	}
	fmt.Fprint(table, "all\t\t\t\t\t")
	printCounts(table, &summary.Total)
	_ = table.Flush() // a write error, such as a closed pipe, does not change the exit code
}
