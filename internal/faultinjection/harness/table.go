package harness

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"frostlink/internal/faultinjection/checker"
)

// maxShown breaches are printed in full; all are in the JSON.
const maxShown = 20

// Print writes what a run showed, for people.
func (r *Result) Print(out io.Writer) {
	if len(r.Timeline) > 0 {
		fmt.Fprintf(out, "\nWhat happened\n  %s\n", strings.Join(r.Timeline, "\n  "))
	}
	t := tabwriter.NewWriter(out, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\npartner\tasked\tdelivered\tin time\trefused\tfailed\tcalls\tfull\terrors\tcut off\tconnections\tpushed over\t\n")
	for i, p := range r.Destinations {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.DestinationNames[i], p.Requested, p.Delivered, p.InTime,
			p.Rejected, p.Failed+p.Unserved, p.Attempts, p.AttemptsByOutcome[checker.Rejected]+p.AttemptsByOutcome[checker.RetryAfter],
			p.AttemptsByOutcome[checker.Error]+p.AttemptsByOutcome[checker.Reset], p.AttemptsByOutcome[checker.Abandoned]+p.AttemptsByOutcome[checker.Interrupted], p.Connections,
			r.Overloads[r.DestinationNames[i]])
	}
	fmt.Fprintf(t, "\nrelay\thanded in\ttaken on\tgiven back\tgiven up\tcalls\tstarts\tMB by quarter\tdescriptors by quarter\tCPU s\tfolder kB\t\n")
	for i, p := range r.Relays {
		u := r.Processes[i]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f %.0f %.0f %.0f\t%d %d %d %d\t%.2f\t%.0f\t\n", u.Name, p.Submissions, p.Accepted, p.Deferred,
			p.Undeliverable, p.Attempts, u.Starts, u.MemoryMB[0], u.MemoryMB[1], u.MemoryMB[2], u.MemoryMB[3],
			u.Descriptors[0], u.Descriptors[1], u.Descriptors[2], u.Descriptors[3], u.CPUSeconds, u.StateKB)
	}
	_ = t.Flush()
	w := &r.DeliveredWeight
	fmt.Fprintf(out, "\nworth  %.3f of what was asked for; worst 10 s %.3f (from %.0f s), worst class %.3f, worst tenant %.3f\n",
		w.Total, w.WorstWindow, w.WorstWindowStart.Seconds(), w.WorstClass, w.WorstTenant)
	for _, name := range slices.Sorted(maps.Keys(r.TimeToDelivery)) {
		q := r.TimeToDelivery[name]
		fmt.Fprintf(out, "       %s: worth %.3f, delivered after %.2f s (half), %.2f s (99 of 100)\n", name, w.ByClass[name], q.Median, q.P99)
	}
	c := &r.Counts
	fmt.Fprintf(out, "counts %d messages, %d hand-ins, %d taken on, %d calls, %d turned away above a limit, %d effects for nothing\n",
		c.Requested, c.Submissions, c.Accepted, c.Attempts, c.AttemptsByOutcome[checker.Rejected]+c.AttemptsByOutcome[checker.RetryAfter], c.WastedExecutions)
	for _, u := range r.Processes {
		if u.AdminReads > 0 {
			fmt.Fprintf(out, "door   %s: figures read %d times, in %.1f ms (half), %.1f ms (99 of 100), %.1f ms at most\n", u.Name, u.AdminReads,
				1000*u.AdminLatency.Median, 1000*u.AdminLatency.P99, 1000*u.AdminLatency.Max)
		}
	}
	if len(r.Undelivered) > 0 {
		fmt.Fprintf(out, "kept   undelivered messages in the stores:")
		for _, state := range slices.Sorted(maps.Keys(r.Undelivered)) {
			fmt.Fprintf(out, " %d %s", r.Undelivered[state], state)
		}
		fmt.Fprintln(out)
	}
	for _, p := range r.Redeliveries {
		fmt.Fprintf(out, "resent %s: %d calls by %d relays in %d turns, from %.1f to %.1f s, at most %d in any second\n", p.Destination, p.Attempts, p.Relays,
			p.Turns, p.From.Seconds(), p.To.Seconds(), p.MaxPerSecond)
	}
	if r.Datagrams.Sent > 0 {
		fmt.Fprintf(out, "notes  %d datagrams of %d bytes in all, %d lost, %d halved\n", r.Datagrams.Sent, r.Datagrams.Bytes, r.Datagrams.Lost, r.Datagrams.Halved)
	}
	fmt.Fprintf(out, "rig    %d events, %.2f%% later than 5 ms, the latest by %.1f ms\n", r.Events, 100*r.LateShare, float64(r.MaxLateness.Microseconds())/1000)
	r.printVerdict(out)
}

func (r *Result) printVerdict(out io.Writer) {
	for i, b := range r.Violations {
		if i == maxShown {
			fmt.Fprintf(out, "  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(out, "BREACH %s: at %.3f s, relay %d, partner %s, message %s: %s\n", b.Rule, b.At.Seconds(), b.Relay, or(b.Destination, "-"),
			or(b.ID, "-"), b.Text)
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

func or(s, other string) string {
	if s == "" {
		return other
	}
	return s
}
