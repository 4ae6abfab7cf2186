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
	Histories []*fleet.History `json:"courses"`
	Messages  int              `json:"messages"` // ids that the logs name
	Gaps      []string         `json:"unsure"`   // what is wrong with the logs as a whole
	Bad       []fleet.BadLine  `json:"bad_lines"`
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
			index := fleet.NewIndex(logs)
			out := followed{
				Histories: []*fleet.History{}, Messages: index.MessageCount(), Gaps: append([]string{}, index.Gaps...),
				Bad: append([]fleet.BadLine{}, logs.BadLines...),
			}
			if wrong {
				out.Histories = append(out.Histories, index.Violating()...)
			} else if history := index.History(id); history != nil {
				out.Histories = append(out.Histories, history)
			} else {
				return fmt.Errorf("%s: none of %d messages in the logs has that id", id, index.MessageCount())
			}
			if asJSON != "" {
				err = cli.WriteJSON(c.OutOrStdout(), asJSON, out)
			}
			if asJSON != "-" {
				printFollowed(c.OutOrStdout(), &out, wrong)
			}
			for _, history := range out.Histories {
				if err == nil && len(history.Violations) > 0 {
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
	for _, c := range f.Histories[:min(len(f.Histories), mostNamed)] {
		if wrong {
			fmt.Fprintf(out, "%s  %s to destination %d, at %s: %s, %s\n", c.ID, c.Class, c.Destination, c.Violations[0].Relay, c.Violations[0].Kind, c.Violations[0].Detail)
			continue
		}
		printHistory(out, c)
	}
	if more := len(f.Histories) - mostNamed; more > 0 {
		fmt.Fprintf(out, "and %d more, which --json has\n", more)
	}
	if wrong {
		fmt.Fprintf(out, "%d of %d messages have something wrong\n", len(f.Histories), f.Messages)
	}
	for _, u := range f.Gaps {
		fmt.Fprintln(out, "unsure:", u)
	}
	for _, b := range f.Bad[:min(len(f.Bad), mostNamed)] {
		fmt.Fprintln(out, b)
	}
}

// printHistory prints one message's history, with times since its first line.
func printHistory(out io.Writer, c *fleet.History) {
	began := c.Events[0].At
	fmt.Fprintf(out, "%s  %s to destination %d", c.ID, c.Class, c.Destination)
	if c.Idempotency != "" {
		fmt.Fprintf(out, " (%s)", c.Idempotency)
	}
	fmt.Fprintf(out, ", from %s on\n", time.UnixMilli(int64(began)).UTC().Format("2006-01-02 15:04:05.000"))
	for _, e := range c.Events {
		fmt.Fprintf(out, "%9.3f s  %-6s %s\n", (e.At-began)/1000, e.Relay, says(&e.Event))
	}
	for _, k := range c.Related {
		fmt.Fprintf(out, "%9.3f s  %-6s %s with the same key as %s%s\n", (k.At-began)/1000, k.Relay, k.Decision, k.ID, retries(k.Retry))
	}
	for _, w := range c.Violations {
		fmt.Fprintf(out, "wrong: %s: %s (%s)\n", w.Kind, w.Detail, w.Relay)
	}
	for _, u := range c.Gaps {
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
