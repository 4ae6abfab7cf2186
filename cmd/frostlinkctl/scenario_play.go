package main

import (
	"context"
	"fmt"

	"frostlink/internal/cli"
	"frostlink/internal/faultinjection/harness"
	"frostlink/internal/faultinjection/scenario"
)

// maxPlays is how often a scenario is played where the machine was too busy for a run to say anything.
const maxPlays = 3

// playUntilConclusive plays a scenario until a run is conclusive, maxPlays times at most. It returns the last run and how many there were.
func playUntilConclusive(ctx context.Context, s *scenario.Scenario, o harness.Options) (result *harness.Result, plays int, err error) {
	for plays < maxPlays && (result == nil || result.Void) {
		plays++
		if result, err = harness.Run(ctx, s, o); err != nil {
			return nil, plays, err
		}
	}
	return result, plays, nil
}

// tally counts runs by their verdicts, but for those that passed.
type tally struct {
	failed, inconclusive int
}

// add counts a run. An inconclusive run, for which the machine was too busy, is neither passed nor failed.
func (t *tally) add(inconclusive, passed bool) {
	switch {
	case inconclusive:
		t.inconclusive++
	case !passed:
		t.failed++
	}
}

// verdict is the error of a command that has played these runs: a failure counts for more than runs that say nothing.
func (t *tally) verdict() error {
	switch {
	case t.failed > 0:
		return cli.ErrFindings
	case t.inconclusive > 0:
		return fmt.Errorf("the machine was too busy for %d runs", t.inconclusive)
	default:
		return nil
	}
}
