package main

import (
	"context"
	"fmt"

	"frostlink/internal/cli"
	"frostlink/internal/faultinjection/harness"
	"frostlink/internal/faultinjection/scenario"
)

// maxPlays is the maximum number of runs of a scenario. A run that is inconclusive because the machine was too busy is repeated.
const maxPlays = 3

// playUntilConclusive plays a scenario until a run is conclusive, at most maxPlays times. It returns the result of the last run and the
// number of runs.
func playUntilConclusive(ctx context.Context, s *scenario.Scenario, o harness.Options) (result *harness.Result, plays int, err error) {
	for plays < maxPlays && (result == nil || result.Void) {
		plays++
		if result, err = harness.Run(ctx, s, o); err != nil {
			return nil, plays, err
		}
	}
	return result, plays, nil
}

// tally counts the failed and the inconclusive runs.
type tally struct {
	failed, inconclusive int
}

// add counts a run. A run is inconclusive if the machine was too busy for it; such a run has neither passed nor failed.
func (t *tally) add(inconclusive, passed bool) {
	switch {
	case inconclusive:
		t.inconclusive++
	case !passed:
		t.failed++
	}
}

// verdict returns the error of a command that has played these runs. Failed runs take precedence over inconclusive ones.
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
