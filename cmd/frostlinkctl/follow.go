package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"frostlink/internal/trace"
	"frostlink/internal/trace/fleet"
)

// printHistory prints all events of one message, with times relative to the first event.
func printHistory(out io.Writer, h *fleet.History) {
	begin := h.Events[0].At
	secondsSince := func(at float64) float64 { return (at - begin) / 1000 }
	fmt.Fprintf(out, "%s  %s to destination %d", h.ID, h.Class, h.Destination)
	if h.Idempotency != "" {
		fmt.Fprintf(out, " (%s)", h.Idempotency)
	}
	fmt.Fprintf(out, ", from %s on\n", time.UnixMilli(int64(begin)).UTC().Format(timestampLayout))
	for _, event := range h.Events {
		fmt.Fprintf(out, "%9.3f s  %-6s %s\n", secondsSince(event.At), event.Relay, describe(&event.Event))
	}
	for _, other := range h.Related {
		fmt.Fprintf(out, "%9.3f s  %-6s %s with the same key as %s%s\n", secondsSince(other.At), other.Relay, other.Decision, other.ID,
			describeRetry(other.Retry))
	}
	for _, violation := range h.Violations {
		fmt.Fprintf(out, "wrong: %s: %s (%s)\n", violation.Kind, violation.Detail, violation.Relay)
	}
	printGaps(out, h.Gaps)
}

func printGaps(out io.Writer, gaps []string) {
	for _, gap := range gaps {
		fmt.Fprintln(out, "unsure:", gap)
	}
}

// describeRetry describes the Client-Retry header, with which a client reports earlier submissions.
func describeRetry(retry string) string {
	if retry == "" {
		return ""
	}
	return fmt.Sprintf(" (Client-Retry: %s)", retry)
}

// describe returns a description of an event.
func describe(e *trace.Event) string {
	switch e.Kind {
	case trace.Accepted, trace.Rejected:
		return describeDecision(e)
	case trace.Resubmitted:
		return fmt.Sprintf("handed in once more, answered %d%s", e.Count, describeRetry(e.Retry))
	case trace.AttemptStarted:
		return fmt.Sprintf("call %d to %s", e.Count, e.Endpoint)
	case trace.AttemptEnded:
		return describeAttempt(e)
	case trace.Completed:
		return fmt.Sprintf("%s, at an age of %.3f s", e.Outcome, e.DurationMs/1000) + textIf(e.Late, ", late")
	case trace.Recovered:
		return fmt.Sprintf("taken up from the journal after %d calls", e.Count) + textIf(e.Outcome != "", ", owed its notice: "+e.Outcome)
	case trace.Notified:
		return "the platform has its notice"
	case trace.RelayStarted:
		return "the relay starts"
	case trace.ShutdownRequested:
		return "the relay is told to end"
	default:
		return string(e.Kind)
	}
}

// describeDecision describes the acceptance of a message, or its rejection on arrival.
func describeDecision(e *trace.Event) string {
	var b strings.Builder
	if e.Kind == trace.Accepted {
		b.WriteString("taken on")
	} else {
		b.WriteString("refused at its arrival")
	}
	if e.Deadline > 0 {
		fmt.Fprintf(&b, ", %.3f s to go", (e.Deadline-e.At)/1000)
	}
	if e.Kind == trace.Rejected && e.DurationMs > 0 {
		fmt.Fprintf(&b, ", told to stay away for %.3f s", e.DurationMs/1000)
	}
	b.WriteString(describeRetry(e.Retry))
	return b.String()
}

// describeAttempt describes the end of an attempt.
func describeAttempt(e *trace.Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "call %d to %s: %s after %.1f ms", e.Count, e.Endpoint, e.Outcome, e.DurationMs)
	b.WriteString(textIf(e.NewConn, ", on a new connection"))
	if e.RateLimit > 0 {
		fmt.Fprintf(&b, ", %.2f of %.1f a second left", e.RemainingFraction, e.RateLimit)
	}
	return b.String()
}

// textIf returns text if the condition holds, and an empty string otherwise.
func textIf(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}
