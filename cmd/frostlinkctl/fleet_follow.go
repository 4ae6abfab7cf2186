package main

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"frostlink/internal/trace/fleet"
)

// fleetFollowFlags are the flags of fleet follow.
type fleetFollowFlags struct {
	wrong    bool // list all messages with violations, instead of following one message
	jsonFile string
}

// followedMessages is the JSON output of fleet follow.
type followedMessages struct {
	Histories []*fleet.History `json:"courses"`
	Messages  int              `json:"messages"` // number of message ids in the logs
	Gaps      []string         `json:"unsure"`   // problems with the logs because of which findings are uncertain
	BadLines  []fleet.BadLine  `json:"bad_lines"`
}

func fleetFollowCommand() *cobra.Command {
	var f fleetFollowFlags
	c := &cobra.Command{
		Use:   "follow ID LOG...",
		Short: "Follow one message through all relays that handled it, or list the messages with violations",
		Long: "Follow one message through the traces that a fleet's relays write with [trace] log = true in the operator's file. Show its\n" +
			"submissions, decisions, calls, answers, restarts, notices and outcome, in chronological order. Do not give an ID with --wrong, which\n" +
			"lists all messages with violations, the worst first. Gaps in the logs (a torn line, a relay without a log, a clock that\n" +
			"steps back) are reported, but are not violations.\n" +
			"Exit codes: 0 success, 1 a message was lost, ended twice or late, or was sent again against its class's rule, 2 could not run.",
		Example: "  frostlinkctl fleet follow 9f84adc60144c0f3 logs\n  frostlinkctl fleet follow --wrong logs",
		Args:    f.checkArgs,
		RunE:    f.run,
	}
	c.Flags().BoolVar(&f.wrong, "wrong", false, "list all messages with violations, the worst first")
	addJSONFlag(c, &f.jsonFile, "what was found")
	return c
}

// checkArgs checks that the arguments name the logs and, without --wrong, a message.
func (f *fleetFollowFlags) checkArgs(_ *cobra.Command, args []string) error {
	switch {
	case f.wrong && len(args) < 1:
		return errors.New("no logs given: name at least one log file, or a folder that contains the log files")
	case !f.wrong && len(args) < 2:
		return errors.New("name a message's id and the logs, or --wrong and the logs")
	}
	return nil
}

func (f *fleetFollowFlags) run(c *cobra.Command, args []string) error {
	id, paths := args[0], args[1:]
	if f.wrong {
		paths = args
	}
	logs, err := readTraces(paths)
	if err != nil {
		return err
	}
	index := fleet.NewIndex(logs)
	found := &followedMessages{
		Histories: []*fleet.History{}, Messages: index.MessageCount(), Gaps: append([]string{}, index.Gaps...),
		BadLines: append([]fleet.BadLine{}, logs.BadLines...),
	}
	printText := found.printViolating
	if f.wrong {
		found.Histories = append(found.Histories, index.Violating()...)
	} else {
		history := index.History(id)
		if history == nil {
			return fmt.Errorf("%s: none of %d messages in the logs has that id", id, index.MessageCount())
		}
		found.Histories = append(found.Histories, history)
		printText = found.printHistories
	}
	if err := writeResult(c.OutOrStdout(), f.jsonFile, found, printText); err != nil {
		return err
	}
	return findings(slices.ContainsFunc(found.Histories, func(h *fleet.History) bool { return len(h.Violations) > 0 }))
}

// printHistories prints the whole history of each message.
func (f *followedMessages) printHistories(out io.Writer) {
	for _, history := range f.Histories {
		printHistory(out, history)
	}
	f.printLogProblems(out)
}

// printViolating prints a line for each of the first messages with violations.
func (f *followedMessages) printViolating(out io.Writer) {
	for _, h := range f.Histories[:min(len(f.Histories), maxPrinted)] {
		worst := h.Violations[0]
		fmt.Fprintf(out, "%s  %s to destination %d, at %s: %s, %s\n", h.ID, h.Class, h.Destination, worst.Relay, worst.Kind, worst.Detail)
	}
	if more := len(f.Histories) - maxPrinted; more > 0 {
		fmt.Fprintf(out, "and %d more, which --json has\n", more)
	}
	fmt.Fprintf(out, "%d of %d messages have something wrong\n", len(f.Histories), f.Messages)
	f.printLogProblems(out)
}

// printLogProblems prints the gaps in the logs and the lines that could not be parsed.
func (f *followedMessages) printLogProblems(out io.Writer) {
	printGaps(out, f.Gaps)
	printBadLines(out, f.BadLines)
}
