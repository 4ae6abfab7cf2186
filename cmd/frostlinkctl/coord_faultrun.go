package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/faultinjection/faults"
)

// Bounds of the flags of coord fault-run.
const (
	maxFaultRuns         = 1000
	maxFaultRunRelays    = 300
	maxParallelFaultRuns = 16
	minSessionTTL        = 500 * time.Millisecond
	maxSessionTTL        = time.Minute
)

// coordinatorProgram is the file name of the coordination service's program.
const coordinatorProgram = "frostlink-coord"

// coordFaultRunFlags are the flags of coord fault-run.
type coordFaultRunFlags struct {
	options  faults.Options // the options of the first run; later runs have other seeds
	runs     int
	parallel int
	unfenced bool
	folder   string
	jsonFile string
}

func coordFaultRunCommand() *cobra.Command {
	var f coordFaultRunFlags
	c := &cobra.Command{
		Use:   "fault-run",
		Short: "Run members and relays as processes, inject random faults, and check the lease holders' acts",
		Long: "Run members of the coordination service and relays as real processes on loopback, with proxies between all of them. All relays request\n" +
			"the same lease, and its holder repeatedly acts on a stand-in for the protected resource. Meanwhile holders, relays and members are\n" +
			"killed and paused, cut off in one or both directions, slowed and reset, and disks become full. All faults are drawn from a seed. The\n" +
			"command checks that accepted acts of two holders never overlap, that tokens only grow, that acts of processes that were not paused never\n" +
			"overlap, whether they were accepted or not, and that some relay acts at the end. With --unfenced the stand-in does not check tokens, so\n" +
			"that the acts of a holder that is paused for longer than its lease overlap those of the next holder.\nExit codes: 0 success, 1 a run failed, 2 could not run.",
		Example: "  frostlinkctl coord fault-run --runs 5\n  frostlinkctl coord fault-run --runs 200 --beside 4 --relays 40",
		Args:    cobra.NoArgs,
		RunE:    f.run,
	}
	flags := c.Flags()
	flags.IntVar(&f.runs, "runs", 1, "number of `runs`, with consecutive seeds")
	flags.IntVar(&f.parallel, "beside", 1, "number of `runs` at a time")
	flags.Uint64Var(&f.options.Seed, "seed", 1, "first `seed`")
	flags.IntVar(&f.options.Members, "members", 3, "number of `members` of the service")
	flags.IntVar(&f.options.Relays, "relays", 40, "number of `relays`")
	flags.DurationVar(&f.options.TTL, "ttl", time.Second, "the sessions' time to live, a `duration`")
	flags.DurationVar(&f.options.Length, "length", 30*time.Second, "how long faults are injected, a `duration`")
	flags.BoolVar(&f.unfenced, "unfenced", false, "the stand-in does not check fencing tokens")
	flags.StringVar(&f.folder, "folder", filepath.Join(os.TempDir(), "frostlink-coord-rehearsals"),
		"`folder` for the runs; the files of failed runs are kept there")
	addJSONFlag(c, &f.jsonFile, "the results")
	return c
}

func (f *coordFaultRunFlags) run(c *cobra.Command, _ []string) error {
	if err := f.check(); err != nil {
		return err
	}
	if err := f.prepare(); err != nil {
		return err
	}
	results, err := f.play(c.Context())
	if err != nil {
		return err
	}
	if err := writeResult(c.OutOrStdout(), f.jsonFile, results, faultRuns(results).print); err != nil {
		return err
	}
	return findings(faultRuns(results).failed())
}

// check checks the flags against their bounds.
func (f *coordFaultRunFlags) check() error {
	if err := checkBounds("runs", f.runs, 1, maxFaultRuns); err != nil {
		return err
	}
	if err := checkBounds("relays", f.options.Relays, 2, maxFaultRunRelays); err != nil {
		return err
	}
	switch f.options.Members {
	case 1, 3, 5:
	default:
		return fmt.Errorf("--members: %d is not 1, 3 or 5", f.options.Members)
	}
	if err := checkBounds("beside", f.parallel, 1, maxParallelFaultRuns); err != nil {
		return err
	}
	if f.options.TTL < minSessionTTL || f.options.TTL > maxSessionTTL {
		return fmt.Errorf("--ttl: %v is not from 500ms to 1m", f.options.TTL)
	}
	return nil
}

// prepare locates the programs and creates the folder for the runs.
func (f *coordFaultRunFlags) prepare() (err error) {
	if f.options.RelayPath, err = siblingProgram(relayProgram); err != nil {
		return err
	}
	if f.options.CoordinatorPath, err = siblingProgram(coordinatorProgram); err != nil {
		return err
	}
	for _, program := range []string{f.options.RelayPath, f.options.CoordinatorPath} {
		if _, err := os.Stat(program); err != nil {
			return fmt.Errorf("find the program in the folder of this one: %w", err)
		}
	}
	f.options.Fenced = !f.unfenced
	return os.MkdirAll(f.folder, 0o700) //nolint:wrapcheck // the error names the operation and the folder
}

// play executes the runs, each with its own seed.
func (f *coordFaultRunFlags) play(ctx context.Context) ([]faults.Result, error) {
	results := make([]faults.Result, f.runs)
	errs := runConcurrently(f.runs, f.parallel, func(i int) (err error) {
		options := f.options
		options.Seed += uint64(i)
		results[i], err = faults.RunIn(ctx, f.folder, options)
		return err
	})
	return results, firstError(errs)
}
