package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"frostlink/internal/faultinjection/simulation"
)

// Upper bounds of one call. Simulating one day of a thousand relays takes some minutes.
const (
	maxPlayedRelays = 1000
	maxPlaysOfDay   = 100
)

// fleetPlayFlags are the flags of fleet play.
type fleetPlayFlags struct {
	relayCounts []int
	days        []string
	plays       int
	firstSeed   int64
	drawn       bool
	jsonFile    string
}

func fleetPlayCommand() *cobra.Command {
	var f fleetPlayFlags
	c := &cobra.Command{
		Use:   "play",
		Short: "Simulate whole fleets in virtual time, and print cost and benefit by fleet size",
		Long: "Simulate days of whole fleets in virtual time. The relays make their real decisions; the partners and an overloaded register are\n" +
			"models. The runs are checked by the same rules as scenarios. The days are: " + strings.Join(simulation.DayNames, ", ") + ". Traffic, limits and\n" +
			"the number of hosts grow with the number of relays; the capacity of one host does not. With --drawn each seed draws its own sizes,\n" +
			"shares, limits and fault times; the kinds of day are: " + strings.Join(simulation.DrawnDayNames, ", ") + ". Runs with problems are listed by seed.\n" +
			"Exit codes: 0 success, 1 a rule was broken (without --drawn also: a partner was overloaded), 2 could not run.",
		Example: "  frostlinkctl fleet play --relays 1,3,12,80 --day herd --plays 3\n" +
			"  frostlinkctl fleet play --drawn --relays 300 --plays 17             # a hundred drawn days, about 6 minutes on 6 cores\n" +
			"  frostlinkctl fleet play --drawn --relays 300 --day zone --plays 1 --seed 8    # one of them again",
		Args: cobra.NoArgs,
		RunE: f.run,
	}
	flags := c.Flags()
	flags.IntSliceVar(&f.relayCounts, "relays", []int{1, 2, 3, 12, 80, 160}, "fleet sizes, as numbers of `relays`")
	flags.StringSliceVar(&f.days, "day", simulation.DayNames, "`days` to simulate")
	flags.IntVar(&f.plays, "plays", 3, "number of `plays` of each day, with consecutive seeds; the figures are means over them")
	flags.Int64Var(&f.firstSeed, "seed", 1, "first `seed`")
	flags.BoolVar(&f.drawn, "drawn", false, "draw the parameters of each day from its seed")
	addJSONFlag(c, &f.jsonFile, "the table")
	return c
}

func (f *fleetPlayFlags) run(c *cobra.Command, _ []string) error {
	if err := f.check(); err != nil {
		return err
	}
	if f.drawn && !c.Flags().Changed("day") {
		f.days = simulation.DrawnDayNames
	}
	summaries, err := f.play(c.Context())
	if err != nil {
		return err
	}
	if err := writeResult(c.OutOrStdout(), f.jsonFile, summaries, func(out io.Writer) { printPlays(out, f.days, summaries) }); err != nil {
		return err
	}
	return findings(f.foundFaults(summaries))
}

// check checks the flags against their bounds.
func (f *fleetPlayFlags) check() error {
	if err := checkBounds("plays", f.plays, 1, maxPlaysOfDay); err != nil {
		return err
	}
	for _, relays := range f.relayCounts {
		if err := checkBounds("relays", relays, 1, maxPlayedRelays); err != nil {
			return err
		}
	}
	return nil
}

// play simulates each day with each fleet size.
func (f *fleetPlayFlags) play(ctx context.Context) ([]simulation.Summary, error) {
	newDay := simulation.NewDay
	if f.drawn {
		newDay = simulation.NewDrawnDay
	}
	summaries := []simulation.Summary{} // encoded as [] in JSON if empty
	for _, day := range f.days {
		for _, relays := range f.relayCounts {
			if err := ctx.Err(); err != nil {
				return nil, err //nolint:wrapcheck // the error needs no context
			}
			summary, err := simulation.Measure(newDay, day, relays, f.plays, f.firstSeed)
			if err != nil {
				return nil, fmt.Errorf("--day: %w", err)
			}
			summaries = append(summaries, summary)
		}
	}
	return summaries, nil
}

// foundFaults reports whether a rule was broken or, without --drawn, a destination was overloaded. On days with drawn parameters, relays
// that did not observe a destination's outage may overload the destination, which breaks no rule.
func (f *fleetPlayFlags) foundFaults(summaries []simulation.Summary) bool {
	for _, s := range summaries {
		if s.Failures > 0 || s.Overloads > 0 && !f.drawn {
			return true
		}
	}
	return false
}
