package main

import (
	"math"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/harness"
)

// spread describes how a figure varies between runs of one scenario with one seed.
type spread struct {
	Figure            string    `json:"figure"`
	Mean              float64   `json:"mean"`
	Min               float64   `json:"least"`
	Max               float64   `json:"most"`
	MaxDeviation      float64   `json:"off"`   // the largest distance from the mean
	RelativeDeviation float64   `json:"share"` // MaxDeviation as a fraction of the mean
	Runs              []float64 `json:"runs"`
}

// figure is a number that is computed from the result of a run.
type figure struct {
	name string
	of   func(r *harness.Result) float64
}

// comparedFigures returns the figures that scenario repeat compares, with the names under which it prints them.
func comparedFigures() []figure {
	figures := []figure{
		{"worth", func(r *harness.Result) float64 { return r.DeliveredWeight.Total }},
		{"worst 10 s", func(r *harness.Result) float64 { return r.DeliveredWeight.WorstWindow }},
		{"worst class", func(r *harness.Result) float64 { return r.DeliveredWeight.WorstClass }},
		{"worst tenant", func(r *harness.Result) float64 { return r.DeliveredWeight.WorstTenant }},
		{"asked", func(r *harness.Result) float64 { return float64(r.Counts.Requested) }},
		{"delivered", func(r *harness.Result) float64 { return float64(r.Counts.Delivered) }},
		{"in time", func(r *harness.Result) float64 { return float64(r.Counts.InTime) }},
		{"refused", func(r *harness.Result) float64 { return float64(r.Counts.Rejected) }},
		{"failed", func(r *harness.Result) float64 { return float64(r.Counts.Failed) }},
		{"unserved", func(r *harness.Result) float64 { return float64(r.Counts.Unserved) }},
		{"hand-ins", func(r *harness.Result) float64 { return float64(r.Counts.Submissions) }},
		{"taken on", func(r *harness.Result) float64 { return float64(r.Counts.Accepted) }},
		{"calls", func(r *harness.Result) float64 { return float64(r.Counts.Attempts) }},
	}
	for _, outcome := range []string{
		checker.OK, checker.Error, checker.Rejected, checker.RetryAfter, checker.Reset, checker.Interrupted, checker.Abandoned,
	} {
		figures = append(figures, figure{"calls " + outcome, func(r *harness.Result) float64 { return float64(r.Counts.AttemptsByOutcome[outcome]) }})
	}
	return figures
}

// measureSpreads returns the spread of each figure over the runs.
func measureSpreads(results []*harness.Result) []spread {
	var spreads []spread
	for _, f := range comparedFigures() {
		values := make([]float64, len(results))
		for i, result := range results {
			values[i] = f.of(result)
		}
		spreads = append(spreads, newSpread(f.name, values))
	}
	return spreads
}

func newSpread(name string, values []float64) spread {
	s := spread{Figure: name, Min: math.Inf(1), Max: math.Inf(-1), Runs: values}
	for _, value := range values {
		s.Mean += value / float64(len(values))
		s.Min, s.Max = min(s.Min, value), max(s.Max, value)
	}
	s.MaxDeviation = max(s.Max-s.Mean, s.Mean-s.Min)
	if s.Mean > 0 {
		s.RelativeDeviation = s.MaxDeviation / s.Mean
	}
	return s
}
