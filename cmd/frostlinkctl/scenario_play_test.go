package main

import (
	"errors"
	"testing"

	"frostlink/internal/cli"
	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/harness"
)

// runResult returns the result of a run that delivered a fraction of the weight.
func runResult(deliveredWeight float64, inconclusive bool, failures ...string) *harness.Result {
	report := &checker.Report{}
	report.DeliveredWeight.Total = deliveredWeight
	return &harness.Result{Void: inconclusive, Failures: failures, Report: report}
}

func TestTally_FailureCountsForMoreThanInconclusiveRuns(t *testing.T) {
	for _, tt := range []struct {
		name    string
		counts  tally
		wantErr string
		found   bool
	}{
		{"all passed", tally{}, "", false},
		{"some inconclusive", tally{inconclusive: 2}, "the machine was too busy for 2 runs", false},
		{"some failed", tally{failed: 1}, cli.ErrFindings.Error(), true},
		{"both", tally{failed: 1, inconclusive: 3}, cli.ErrFindings.Error(), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.counts.verdict()
			if (err == nil) != (tt.wantErr == "") || err != nil && err.Error() != tt.wantErr || errors.Is(err, cli.ErrFindings) != tt.found {
				t.Errorf("verdict %v, want %q", err, tt.wantErr)
			}
		})
	}
}

func TestTally_InconclusiveRunIsNoFailure(t *testing.T) {
	var counts tally
	counts.add(true, false)
	counts.add(true, true)
	counts.add(false, true)
	counts.add(false, false)
	if want := (tally{failed: 1, inconclusive: 2}); counts != want {
		t.Errorf("counts %+v, want %+v", counts, want)
	}
}

// Each scenario has its own baseline. A run without failures counts as failed if its delivered weight is too far below the baseline's.
func TestCompareSteps_ComparesWithTheRunWithoutStep(t *testing.T) {
	runs := []*steppedRun{
		{Path: "a", Step: 0, Result: runResult(0.9, false)},
		{Path: "a", Step: 5, Result: runResult(0.88, false)},
		{Path: "a", Step: -5, Result: runResult(0.8, false)},
		{Path: "a", Step: 60, Result: runResult(0.9, false, "crash")},
		{Path: "b", Step: 0, Result: runResult(0.7, false)},
		{Path: "b", Step: 5, Result: runResult(0.75, false)},
		{Path: "b", Step: -5, Result: runResult(0.1, true)},
	}
	if got, want := compareSteps(runs, 0.03), (tally{failed: 2, inconclusive: 1}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
	if difference := runs[5].Difference; difference < 0.049 || difference > 0.051 {
		t.Errorf("difference %v in the second scenario, want 0.05", difference)
	}
}

func TestNewSpread(t *testing.T) {
	s := newSpread("worth", []float64{1, 2, 6})
	if s.Mean != 3 || s.Min != 1 || s.Max != 6 || s.MaxDeviation != 3 || s.RelativeDeviation != 1 || len(s.Runs) != 3 {
		t.Errorf("spread %+v", s)
	}
	if s := newSpread("failed", []float64{0, 0}); s.RelativeDeviation != 0 || s.MaxDeviation != 0 {
		t.Errorf("spread of a figure that is always 0: %+v", s)
	}
}
