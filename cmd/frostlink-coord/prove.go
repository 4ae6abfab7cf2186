package main

import (
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

// mostSeeds bounds what is played at one call.
const mostSeeds = 1_000_000

// proof is what a number of plays came to.
type proof struct {
	First   uint64            `json:"first_seed"`
	Plays   int               `json:"plays"`
	Acts    int               `json:"acts"`
	Grants  int               `json:"grants"`
	Values  int               `json:"values"`
	Done    map[string]int    `json:"caused"`
	Failing []coordsim.Result `json:"failing"`
	Took    float64           `json:"took_s"`
}

func proveCommand() *cobra.Command {
	var seeds int
	var first uint64
	var stop bool
	var asJSON string
	c := &cobra.Command{
		Use:   "prove",
		Short: "Play drawn runs of whole quorums in virtual time, and judge them",
		Long: "Play runs of three or five members, of clients that act under leases and of writers of values, in virtual time: under a network\n" +
			"that loses, delays, doubles, reorders and cuts one way, with pauses, crashes at every write, full and slow disks, disks set back\n" +
			"and clocks apart, all drawn from a seed. Checked: acts of two holders never overlap in true time; tokens only grow; nobody who\n" +
			"waits is passed over; values are linearizable; leases are held again in the calm; members have the same state; a disk that was\n" +
			"set back is noticed. A failing seed plays its run again.\n" +
			"Exit codes: 0 fine, 1 a run failed, 2 could not run.",
		Example: "  frostlink-coord prove --seeds 10000\n  frostlink-coord prove --seeds 1 --seed 4711 --json -",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if seeds < 1 || seeds > mostSeeds {
				return fmt.Errorf("--seeds: %d is not from 1 to %d", seeds, mostSeeds)
			}
			p, err := prove(c, first, seeds, stop)
			if err != nil {
				return err
			}
			if asJSON != "" {
				err = cli.WriteJSON(c.OutOrStdout(), asJSON, p)
			}
			if asJSON != "-" {
				printProof(c.OutOrStdout(), p)
			}
			if err == nil && len(p.Failing) > 0 {
				return cli.ErrFound
			}
			return err
		},
	}
	f := c.Flags()
	f.IntVar(&seeds, "seeds", 1000, "`runs` to play, by seeds one after the other")
	f.Uint64Var(&first, "seed", 1, "first `seed`")
	f.BoolVar(&stop, "stop", false, "stop at the first run that fails")
	f.StringVar(&asJSON, "json", "", "write the result as JSON to this `file`; - is standard output, and nothing else then")
	return c
}

// prove plays as many runs at once as there are processors.
func prove(c *cobra.Command, first uint64, seeds int, stop bool) (*proof, error) {
	begun := time.Now()
	p := &proof{First: first, Done: map[string]int{}, Failing: []coordsim.Result{}}
	var mu sync.Mutex
	var work sync.WaitGroup
	next := first
	for range runtime.GOMAXPROCS(0) {
		work.Go(func() {
			for {
				mu.Lock()
				seed := next
				over := seed >= first+uint64(seeds) || stop && len(p.Failing) > 0 || c.Context().Err() != nil
				next++
				mu.Unlock()
				if over {
					return
				}
				r := coordsim.Play(seed)
				mu.Lock()
				p.Plays++
				p.Acts += r.Acts
				p.Grants += r.Grants
				p.Values += r.Values
				for kind, n := range r.Done {
					p.Done[kind] += n
				}
				if len(r.Faults) > 0 {
					p.Failing = append(p.Failing, r)
				}
				mu.Unlock()
			}
		})
	}
	work.Wait()
	slices.SortFunc(p.Failing, func(a, b coordsim.Result) int { return int(int64(a.Seed) - int64(b.Seed)) })
	p.Took = time.Since(begun).Seconds()
	return p, c.Context().Err()
}

func printProof(out io.Writer, p *proof) {
	for _, r := range p.Failing {
		for _, f := range r.Faults {
			fmt.Fprintf(out, "seed %d: %s: %s\n", r.Seed, f.Check, f.What)
		}
	}
	fmt.Fprintf(out, "%d runs from seed %d in %.0f s: %d acts under %d grants, %d writes and reads of values\n", p.Plays, p.First, p.Took,
		p.Acts, p.Grants, p.Values)
	fmt.Fprint(out, "caused:")
	for _, kind := range slices.Sorted(maps.Keys(p.Done)) {
		fmt.Fprintf(out, " %s %d;", kind, p.Done[kind])
	}
	fmt.Fprintf(out, "\n%d runs failed\n", len(p.Failing))
}
