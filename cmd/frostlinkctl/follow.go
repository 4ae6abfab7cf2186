package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/trace"
	"frostlink/internal/trace/fleet"
)

// followed is what fleet follow writes as JSON.
type followed struct {
	Courses  []*fleet.Course `json:"courses"`
	Messages int             `json:"messages"` // ids that the logs name
	Unsure   []string        `json:"unsure"`   // what is wrong with the logs as a whole
	Bad      []fleet.BadLine `json:"bad_lines"`
}

func fleetFollow() *cobra.Command {
	var asJSON string
	var wrong bool
	c := &cobra.Command{
		Use:   "follow ID LOG...",
		Short: "Follow one message over all relays that touched it, or list those with which something is wrong",
		Long: "Follow one message through the traces of a fleet's relays, written with [trace] log = true in the operator's file: its\n" +
			"hand-ins, decisions, calls, answers, restarts, notices and its end, in order of time. With --wrong there is no ID, and\n" +
			"all messages are listed with which something is wrong, the worst first. What the logs do not tell (a torn line, a relay without\n" +
			"a log, a clock that steps back) is said, and is no fault.\n" +
			"Exit codes: 0 fine, 1 a message lost, ended twice or late, or sent again against its class's rule, 2 could not run.",
		Example: "  frostlinkctl fleet follow 9f84adc60144c0f3 logs\n  frostlinkctl fleet follow --wrong logs",
		Args: func(_ *cobra.Command, args []string) error {
			switch {
			case wrong && len(args) < 1:
				return errors.New("name the logs, or a folder with them")
			case !wrong && len(args) < 2:
				return errors.New("name a message's id and the logs, or --wrong and the logs")
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			id, paths := args[0], args[1:]
			if wrong {
				paths = args
			}
			logs, err := readTraces(paths)
			if err != nil {
				return err
			}
			trail := fleet.NewTrail(logs)
			out := followed{
				Courses: []*fleet.Course{}, Messages: trail.Messages(), Unsure: append([]string{}, trail.Unsure...),
				Bad: append([]fleet.BadLine{}, logs.Bad...),
			}
			if wrong {
				out.Courses = append(out.Courses, trail.Wrong()...)
			} else if course := trail.Follow(id); course != nil {
				out.Courses = append(out.Courses, course)
			} else {
				return fmt.Errorf("%s: none of %d messages in the logs has that id", id, trail.Messages())
			}
			if asJSON != "" {
				err = cli.WriteJSON(c.OutOrStdout(), asJSON, out)
			}
			if asJSON != "-" {
				printFollowed(c.OutOrStdout(), &out, wrong)
			}
			for _, course := range out.Courses {
				if err == nil && len(course.Faults) > 0 {
					return cli.ErrFindings
				}
			}
			return err
		},
	}
	c.Flags().BoolVar(&wrong, "wrong", false, "list all messages with which something is wrong, the worst first")
	c.Flags().StringVar(&asJSON, "json", "", "write what was found as JSON to this `file`; - is standard output, and nothing else then")
	return c
}

func printFollowed(out io.Writer, f *followed, wrong bool) {
	for _, c := range f.Courses[:min(len(f.Courses), mostNamed)] {
		if wrong {
			fmt.Fprintf(out, "%s  %s to destination %d, at %s: %s, %s\n", c.ID, c.Class, c.Dest, c.Faults[0].Relay, c.Faults[0].What, c.Faults[0].Text)
			continue
		}
		printCourse(out, c)
	}
	if more := len(f.Courses) - mostNamed; more > 0 {
		fmt.Fprintf(out, "and %d more, which --json has\n", more)
	}
	if wrong {
		fmt.Fprintf(out, "%d of %d messages have something wrong\n", len(f.Courses), f.Messages)
	}
	for _, u := range f.Unsure {
		fmt.Fprintln(out, "unsure:", u)
	}
	for _, b := range f.Bad[:min(len(f.Bad), mostNamed)] {
		fmt.Fprintln(out, b)
	}
}

// printCourse prints one message's course, with times since its first line.
func printCourse(out io.Writer, c *fleet.Course) {
	began := c.Events[0].At
	fmt.Fprintf(out, "%s  %s to destination %d", c.ID, c.Class, c.Dest)
	if c.Effect != "" {
		fmt.Fprintf(out, " (%s)", c.Effect)
	}
	fmt.Fprintf(out, ", from %s on\n", time.UnixMilli(int64(began)).UTC().Format("2006-01-02 15:04:05.000"))
	for _, e := range c.Events {
		fmt.Fprintf(out, "%9.3f s  %-6s %s\n", (e.At-began)/1000, e.Relay, says(&e.Event))
	}
	for _, k := range c.Kin {
		fmt.Fprintf(out, "%9.3f s  %-6s %s with the same key as %s%s\n", (k.At-began)/1000, k.Relay, k.How, k.ID, retries(k.Retry))
	}
	for _, w := range c.Faults {
		fmt.Fprintf(out, "wrong: %s: %s (%s)\n", w.What, w.Text, w.Relay)
	}
	for _, u := range c.Unsure {
		fmt.Fprintln(out, "unsure:", u)
	}
}

func retries(retry string) string {
	if retry == "" {
		return ""
	}
	return fmt.Sprintf(" (Client-Retry: %s)", retry)
}

// says puts an event into words.
func says(e *trace.Event) string {
	var b strings.Builder
	say := func(format string, args ...any) { fmt.Fprintf(&b, format, args...) }
	switch e.Kind {
	case trace.Accepted, trace.Rejected:
		say("%s", map[trace.Kind]string{trace.Accepted: "taken on", trace.Rejected: "refused at its arrival"}[e.Kind])
		if e.Deadline > 0 {
			say(", %.3f s to go", (e.Deadline-e.At)/1000)
		}
		if e.Kind == trace.Rejected && e.DurationMs > 0 {
			say(", told to stay away for %.3f s", e.DurationMs/1000)
		}
		say("%s", retries(e.Retry))
	case trace.Resubmitted:
		say("handed in once more, answered %d%s", e.Count, retries(e.Retry))
	case trace.AttemptStarted:
		say("call %d to %s", e.Count, e.Endpoint)
	case trace.AttemptEnded:
		say("call %d to %s: %s after %.1f ms", e.Count, e.Endpoint, e.Outcome, e.DurationMs)
		if e.NewConn {
			say(", on a new connection")
		}
		if e.RateLimit > 0 {
			say(", %.2f of %.1f a second left", e.RemainingFraction, e.RateLimit)
		}
	case trace.Completed:
		say("%s, at an age of %.3f s", e.Outcome, e.DurationMs/1000)
		if e.Late {
			say(", late")
		}
	case trace.Recovered:
		say("taken up from the journal after %d calls", e.Count)
		if e.Outcome != "" {
			say(", owed its notice: %s", e.Outcome)
		}
	case trace.Notified:
		say("the platform has its notice")
	case trace.RelayStarted:
		say("the relay starts")
	case trace.ShutdownRequested:
		say("the relay is told to end")
	default:
		say("%s", e.Kind)
	}
	return b.String()
}
