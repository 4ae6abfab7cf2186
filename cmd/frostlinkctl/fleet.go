package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/trace/fleet"
)

// maxPrinted is how many bad lines or messages are printed one by one; all of them are in the JSON.
const maxPrinted = 20

func fleetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "fleet",
		Short:   "Count what all relays of a fleet did together",
		Long:    "What is harmless at one relay may be harmful when all do it. These commands look at the sum.",
		Example: "  frostlinkctl fleet count logs",
	}
	c.AddCommand(fleetCountCommand(), fleetFollowCommand(), fleetPlayCommand())
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

// printBadLines prints the first lines that could not be used.
func printBadLines(out io.Writer, lines []fleet.BadLine) {
	for _, line := range lines[:min(len(lines), maxPrinted)] {
		fmt.Fprintln(out, line)
	}
}
