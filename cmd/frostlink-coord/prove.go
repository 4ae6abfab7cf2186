package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/faultinjection/coordsim"
)

// maxSeeds is the maximum number of runs of one call.
const maxSeeds = 1_000_000

// proveOptions are the flags of prove.
type proveOptions struct {
	seeds       int
	firstSeed   uint64
	stopAtFirst bool // stop at the first run that fails
	jsonFile    string
}

// proof is the combined result of all runs of one call.
type proof struct {
	FirstSeed   uint64            `json:"first_seed"`
	Runs        int               `json:"plays"`
	Acts        int               `json:"acts"`
	Grants      int               `json:"grants"`
	Values      int               `json:"values"` // number of writes and reads of values
	Faults      map[string]int    `json:"caused"` // number of injected faults by kind
	Failing     []coordsim.Result `json:"failing"`
	TookSeconds float64           `json:"took_s"`
}

func proveCommand() *cobra.Command {
	var o proveOptions
	c := &cobra.Command{
		Use:   "prove",
		Short: "Run random simulations of whole quorums in virtual time, and check them",
		Long: "Simulate clusters of three or five members, with clients that act under leases and writers of values, in virtual time. The network\n" +
			"loses, delays, duplicates and reorders messages and is cut in one direction; processes pause, and crash at any write; disks are\n" +
			"full, slow or restored to an older state; clocks differ. All of this is drawn from a seed. The command checks that acts of two\n" +
			"holders never overlap in true time, tokens only grow, waiters get a lease in order, values are linearizable, leases are held again\n" +
			"once faults stop, members have the same state, and a disk that was restored to an older state is detected. The seed of a failed run\n" +
			"reproduces it.\nExit codes: 0 success, 1 a run failed, 2 could not run.",
		Example: "  frostlink-coord prove --seeds 10000\n  frostlink-coord prove --seeds 1 --seed 4711 --json -",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return o.run(c.Context(), c.OutOrStdout()) },
	}
	f := c.Flags()
	f.IntVar(&o.seeds, "seeds", 1000, "number of `runs`, with consecutive seeds")
	f.Uint64Var(&o.firstSeed, "seed", 1, "first `seed`")
	f.BoolVar(&o.stopAtFirst, "stop", false, "stop at the first run that fails")
	f.StringVar(&o.jsonFile, "json", "", "write the result as JSON to this `file`; with -, only the JSON is printed, to standard output")
	return c
}

func (o *proveOptions) run(ctx context.Context, out io.Writer) error {
	if o.seeds < 1 || o.seeds > maxSeeds {
		return fmt.Errorf("--seeds: %d is not from 1 to %d", o.seeds, maxSeeds)
	}
	p := prove(ctx, o)
	if err := ctx.Err(); err != nil {
		return err //nolint:wrapcheck // an interrupted command prints the error without more context
	}
	var err error
	if o.jsonFile != "" {
		err = cli.WriteJSON(out, o.jsonFile, p)
	}
	if o.jsonFile != stdout {
		p.print(out)
	}
	if err == nil && len(p.Failing) > 0 {
		return cli.ErrFindings
	}
	return err
}

// prover runs the simulations of one call.
type prover struct {
	options *proveOptions

	mu       sync.Mutex // guards the fields below
	nextSeed uint64
	proof    *proof
}

// prove makes all runs. The number of concurrent runs is GOMAXPROCS.
func prove(ctx context.Context, o *proveOptions) *proof {
	begun := time.Now()
	p := &prover{
		options: o, nextSeed: o.firstSeed,
		proof: &proof{FirstSeed: o.firstSeed, Faults: map[string]int{}, Failing: []coordsim.Result{}},
	}
	var work sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		work.Go(func() {
			for seed, ok := p.takeSeed(ctx); ok; seed, ok = p.takeSeed(ctx) {
				p.add(coordsim.Play(seed))
			}
		})
	}
	work.Wait()
	slices.SortFunc(p.proof.Failing, func(a, b coordsim.Result) int { return int(int64(a.Seed) - int64(b.Seed)) })
	p.proof.TookSeconds = time.Since(begun).Seconds()
	return p.proof
}

// takeSeed returns the seed of the next run. It reports false if no further run is to be made.
func (p *prover) takeSeed(ctx context.Context) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seed := p.nextSeed
	p.nextSeed++
	exhausted := seed >= p.options.firstSeed+uint64(p.options.seeds)
	stopped := p.options.stopAtFirst && len(p.proof.Failing) > 0
	return seed, !exhausted && !stopped && ctx.Err() == nil
}

// add adds a run's result.
func (p *prover) add(r coordsim.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proof.Runs++
	p.proof.Acts += r.Executions
	p.proof.Grants += r.Grants
	p.proof.Values += r.Operations
	for kind, n := range r.InjectedFaults {
		p.proof.Faults[kind] += n
	}
	if len(r.Violations) > 0 {
		p.proof.Failing = append(p.proof.Failing, r)
	}
}

func (p *proof) print(out io.Writer) {
	for _, r := range p.Failing {
		for _, f := range r.Violations {
			fmt.Fprintf(out, "seed %d: %s: %s\n", r.Seed, f.Check, f.Detail)
		}
	}
	fmt.Fprintf(out, "%d runs from seed %d in %.0f s: %d acts under %d grants, %d writes and reads of values\n",
		p.Runs, p.FirstSeed, p.TookSeconds, p.Acts, p.Grants, p.Values)
	fmt.Fprint(out, "caused:")
	for _, kind := range slices.Sorted(maps.Keys(p.Faults)) {
		fmt.Fprintf(out, " %s %d;", kind, p.Faults[kind])
	}
	fmt.Fprintf(out, "\n%d runs failed\n", len(p.Failing))
}
