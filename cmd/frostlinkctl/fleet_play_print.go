package main

import (
	"fmt"
	"io"
	"math"

	"frostlink/internal/faultinjection/simulation"
)

// printPlays prints a line for each day and fleet size, the runs with problems, and how the figures grow with the number of relays.
func printPlays(out io.Writer, days []string, summaries []simulation.Summary) {
	table := newNumberTable(out)
	fmt.Fprintln(table, "day\trelays\tworth\tspread\trefused/msg\tdoor/msg\tconnections/msg\tasks/relay\tasks/s most\tfalls\tfaults\t")
	for _, s := range summaries {
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.0f\t%d\t%d\t\n", s.Day, s.Relays, s.DeliveredWeight, s.StdDev, s.Rejected,
			s.ConnectionRejected, s.Connections, s.Polls, s.PeakPolls, s.Overloads, s.Failures)
	}
	_ = table.Flush() // a write error, such as a closed pipe, does not change the exit code
	for _, s := range summaries {
		printFailedPlays(out, &s)
	}
	for _, day := range days {
		printGrowth(out, day, summaries)
	}
}

// printFailedPlays prints the seed and the problems of each failed run of a day with one fleet size.
func printFailedPlays(out io.Writer, s *simulation.Summary) {
	for _, run := range s.FailedRuns {
		fmt.Fprintf(out, "%s of %d, seed %d: %d partners pushed over, %d rules broken\n", s.Day, s.Relays, run.Seed, run.Overloads, len(run.Failures))
		for _, failure := range run.Failures {
			fmt.Fprintf(out, "  %s\n", failure)
		}
	}
}

// printGrowth prints how a day's figures grow with the number of relays. It prints nothing if there are fewer than two sizes.
func printGrowth(out io.Writer, day string, summaries []simulation.Summary) {
	var sizes []simulation.Summary
	for _, s := range summaries {
		if s.Day == day {
			sizes = append(sizes, s)
		}
	}
	polls := simulation.GrowthExponent(sizes, func(s simulation.Summary) float64 { return s.Polls * float64(s.Relays) })
	if math.IsNaN(polls) {
		return
	}
	peakPolls := simulation.GrowthExponent(sizes, func(s simulation.Summary) float64 { return s.PeakPolls })
	connections := simulation.GrowthExponent(sizes, func(s simulation.Summary) float64 { return s.Connections })
	fmt.Fprintf(out, "%s: asks grow as relays^%.2f, their peak as relays^%.2f, connections a message as relays^%.2f\n", day, polls, peakPolls, connections)
}
