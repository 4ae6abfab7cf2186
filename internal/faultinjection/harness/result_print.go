package harness

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"frostlink/internal/faultinjection/checker"
)

// maxPrinted is how many violations are printed; the result as JSON has all.
const maxPrinted = 20

// Print writes the result as text for people.
func (r *Result) Print(out io.Writer) {
	if len(r.Timeline) > 0 {
		fmt.Fprintf(out, "\nWhat happened\n  %s\n", strings.Join(r.Timeline, "\n  "))
	}
	table := tabwriter.NewWriter(out, 2, 0, 2, ' ', tabwriter.AlignRight)
	r.printDestinations(table)
	r.printRelays(table)
	_ = table.Flush() // fails only if writing to out fails, and errors of all writes to out are ignored
	r.printWeight(out)
	r.printCounts(out)
	r.printAdminReads(out)
	r.printDeadLetters(out)
	r.printRedeliveries(out)
	if d := &r.Datagrams; d.Sent > 0 {
		fmt.Fprintf(out, "notes  %d datagrams of %d bytes in all, %d lost, %d halved\n", d.Sent, d.Bytes, d.Lost, d.Halved)
	}
	if x := r.ExtraResponses; x != nil {
		fmt.Fprintf(out, "extra  %d responses that nobody asked for, %d crossed a request, %d while a request was in hand\n", x.Written, x.Crossed, x.Busy)
	}
	if r.EarlyEnds > 0 {
		fmt.Fprintf(out, "ends   %d messages were over at their first attempt\n", r.EarlyEnds)
	}
	fmt.Fprintf(out, "rig    %d events, %.2f%% later than 5 ms, the latest by %.1f ms\n", r.Events, 100*r.LateShare, milliseconds(r.MaxLateness))
	r.printVerdict(out)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// rejectedAttempts returns how many attempts were rejected, with or without a Retry-After.
func rejectedAttempts(c *checker.Counts) int {
	return c.AttemptsByOutcome[checker.Rejected] + c.AttemptsByOutcome[checker.RetryAfter]
}

func (r *Result) printDestinations(table io.Writer) {
	fmt.Fprintf(table, "\npartner\tasked\tdelivered\tin time\trefused\tfailed\tcalls\tfull\terrors\tcut off\tconnections\tpushed over\t\n")
	for i := range r.Destinations {
		c, name := &r.Destinations[i], r.DestinationNames[i]
		failed := c.AttemptsByOutcome[checker.Error] + c.AttemptsByOutcome[checker.Reset]
		cutOff := c.AttemptsByOutcome[checker.Abandoned] + c.AttemptsByOutcome[checker.Interrupted]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", name, c.Requested, c.Delivered, c.InTime,
			c.Rejected, c.Failed+c.Unserved, c.Attempts, rejectedAttempts(c), failed, cutOff, c.Connections, r.Overloads[name])
	}
}

func (r *Result) printRelays(table io.Writer) {
	fmt.Fprintf(table, "\nrelay\thanded in\ttaken on\tgiven back\tgiven up\tcalls\tstarts\tMB by quarter\tdescriptors by quarter\tCPU s\tfolder kB\t\n")
	for i := range r.Relays {
		c, u := &r.Relays[i], &r.Processes[i]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f %.0f %.0f %.0f\t%d %d %d %d\t%.2f\t%.0f\t\n", u.Name, c.Submissions, c.Accepted, c.Deferred,
			c.Undeliverable, c.Attempts, u.Starts, u.MemoryMB[0], u.MemoryMB[1], u.MemoryMB[2], u.MemoryMB[3],
			u.Descriptors[0], u.Descriptors[1], u.Descriptors[2], u.Descriptors[3], u.CPUSeconds, u.StateKB)
	}
}

func (r *Result) printWeight(out io.Writer) {
	w := &r.DeliveredWeight
	fmt.Fprintf(out, "\nworth  %.3f of what was asked for; worst 10 s %.3f (from %.0f s), worst class %.3f, worst tenant %.3f\n",
		w.Total, w.WorstWindow, w.WorstWindowStart.Seconds(), w.WorstClass, w.WorstTenant)
	for _, class := range slices.Sorted(maps.Keys(r.TimeToDelivery)) {
		q := r.TimeToDelivery[class]
		fmt.Fprintf(out, "       %s: worth %.3f, delivered after %.2f s (half), %.2f s (99 of 100)\n", class, w.ByClass[class], q.Median, q.P99)
	}
}

func (r *Result) printCounts(out io.Writer) {
	c := &r.Counts
	fmt.Fprintf(out, "counts %d messages, %d hand-ins, %d taken on, %d calls, %d turned away above a limit, %d effects for nothing\n",
		c.Requested, c.Submissions, c.Accepted, c.Attempts, rejectedAttempts(c), c.WastedExecutions)
}

func (r *Result) printAdminReads(out io.Writer) {
	for i := range r.Processes {
		if u := &r.Processes[i]; u.AdminReads > 0 {
			fmt.Fprintf(out, "door   %s: figures read %d times, in %.1f ms (half), %.1f ms (99 of 100), %.1f ms at most\n", u.Name, u.AdminReads,
				1000*u.AdminLatency.Median, 1000*u.AdminLatency.P99, 1000*u.AdminLatency.Max)
		}
	}
}

func (r *Result) printDeadLetters(out io.Writer) {
	if len(r.Undelivered) == 0 {
		return
	}
	fmt.Fprintf(out, "kept   undelivered messages in the stores:")
	for _, state := range slices.Sorted(maps.Keys(r.Undelivered)) {
		fmt.Fprintf(out, " %d %s", r.Undelivered[state], state)
	}
	fmt.Fprintln(out)
}

func (r *Result) printRedeliveries(out io.Writer) {
	for i := range r.Redeliveries {
		d := &r.Redeliveries[i]
		fmt.Fprintf(out, "resent %s: %d calls by %d relays in %d turns, from %.1f to %.1f s, at most %d in any second\n",
			d.Destination, d.Attempts, d.Relays, d.Turns, d.From.Seconds(), d.To.Seconds(), d.MaxPerSecond)
	}
}

func (r *Result) printVerdict(out io.Writer) {
	for i, v := range r.Violations {
		if i == maxPrinted {
			fmt.Fprintf(out, "  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(out, "BREACH %s: at %.3f s, relay %d, partner %s, message %s: %s\n",
			v.Rule, v.At.Seconds(), v.Relay, cmp.Or(v.Destination, "-"), cmp.Or(v.ID, "-"), v.Text)
	}
	for _, f := range r.Failures {
		fmt.Fprintf(out, "FAULT  %s\n", f)
	}
	switch {
	case r.Void:
		fmt.Fprintf(out, "VOID: the rig itself was late; this run says nothing of the relays. Give it an idle machine.\n")
	case r.Passed():
		fmt.Fprintf(out, "all six rules kept\n")
	}
}
