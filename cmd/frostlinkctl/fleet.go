package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/trace/fleet"
)

// maxPrinted is the maximum number of invalid lines or messages that are printed; the JSON contains all of them.
const maxPrinted = 20

func fleetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "fleet",
		Short:   "Analyse the combined behaviour of all relays of a fleet",
		Long:    "Analyse the combined behaviour of all relays of a fleet. Behaviour that is harmless at one relay may be harmful when all relays show it.",
		Example: "  frostlinkctl fleet count logs",
	}
	c.AddCommand(fleetCountCommand(), fleetFollowCommand(), fleetPlayCommand())
	return c
}

// readTraces reads a fleet's logs. It returns an error if they contain no trace, or a trace of a version that this program does not read.
func readTraces(paths []string) (*fleet.Logs, error) {
	logs, err := fleet.ReadFiles(paths)
	switch {
	case err != nil:
		return nil, err
	case logs.OtherVersion != nil:
		return nil, errors.New(logs.OtherVersion.String())
	case len(logs.Events) == 0 && len(logs.BadLines) == 0:
		return nil, fmt.Errorf("%s: no trace in %d lines; turn tracing on with [trace] log = true in the operator's file", paths[0], logs.OtherLines)
	}
	return logs, nil
}

// printBadLines prints the first maxPrinted lines that could not be parsed.
func printBadLines(out io.Writer, lines []fleet.BadLine) {
	for _, line := range lines[:min(len(lines), maxPrinted)] {
		fmt.Fprintln(out, line)
	}
}
