package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/faultinjection/harness"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/strictconfig"
)

// scriptsDir is where scripts that are named without a path are looked for.
const scriptsDir = "scenarios"

func rehearseCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "rehearse",
		Short: "Rehearse an incident on this machine, against real relay processes",
		Long: "Rehearse an incident on this machine: real relay processes, with clients, partners, register and network\n" +
			"stood in for on loopback addresses, and an auditor of the six rules.",
		Example: "  frostlinkctl rehearse run scenarios/quiet.toml",
	}
	c.AddCommand(rehearseRun(), rehearseRepeat(), rehearseSoak(), rehearseClockSteps(), rehearseCheck(), rehearseList())
	return c
}

// runOptions are the flags of all commands that play a script.
type runOptions struct {
	seed   int64
	json   string
	relays string
	keep   string
}

func (o *runOptions) flags(c *cobra.Command) {
	f := c.Flags()
	f.Int64Var(&o.seed, "seed", 0, "seed of all draws (default the script's)")
	f.StringVar(&o.json, "json", "", "write the result as JSON to this `file`; - is standard output")
	f.StringVar(&o.relays, "relays", "", "the relay's `program` (default frostlink beside this program)")
}

// prepare reads the script and finds the relay.
func (o *runOptions) prepare(c *cobra.Command, path string) (*scenario.Scenario, harness.Options, error) {
	s, err := readScript(path)
	if err != nil {
		return nil, harness.Options{}, err
	}
	if !c.Flags().Changed("seed") {
		o.seed = s.Seed
	}
	command, err := relayCommand(o.relays)
	return s, harness.Options{Seed: o.seed, RelayCommand: command, KeepDir: o.keep}, err
}

func rehearseRun() *cobra.Command {
	var o runOptions
	var quiet bool
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Play a script and audit it",
		Long: "Play a script and audit it. The run lasts as long as the script says, plus what the last messages need.\n" +
			"Exit codes: 0 all rules kept, 1 a rule broken or a relay crashed, 2 could not run or the machine was too busy.",
		Example: "  frostlinkctl rehearse run scenarios/fiscal-year-end.toml --seed 7 --json out.json --keep logs",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, options, err := o.prepare(c, args[0])
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			if o.json == "-" {
				out = io.Discard
			} else if !quiet {
				options.Progress = c.ErrOrStderr()
			}
			fmt.Fprintf(out, "%s, seed %d: %s\n%d relays, %d partners, %.0f messages a second for %.0f s\n", s.Name, o.seed, s.About,
				s.Relays, len(s.Destinations), s.Load.Rate, s.Length)
			res, err := harness.Run(c.Context(), s, options)
			if err != nil {
				return err
			}
			res.Print(out)
			if o.json != "" {
				if err := cli.WriteJSON(c.OutOrStdout(), o.json, res); err != nil {
					return err
				}
			}
			switch {
			case res.Void:
				return fmt.Errorf("void: %.2f%% of the rig's events were later than 5 ms", 100*res.LateShare)
			case !res.Passed():
				return cli.ErrFindings
			}
			return nil
		},
	}
	o.flags(c)
	c.Flags().StringVar(&o.keep, "keep", "", "keep the event log, the relays' logs and stores in this `folder`")
	c.Flags().BoolVar(&quiet, "quiet", false, "no progress lines")
	return c
}

func rehearseCheck() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:     "check FILE...",
		Short:   "Check scripts, and name all that is wrong in them",
		Example: "  frostlinkctl rehearse check scenarios/*.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			found := strictconfig.FieldErrors{}
			for _, path := range args {
				s, err := readScript(path)
				var bad strictconfig.FieldErrors
				switch {
				case errors.As(err, &bad):
					found = append(found, bad...)
				case err != nil:
					return err
				case !asJSON:
					fmt.Fprintf(c.OutOrStdout(), "%s: fine; %.0f messages, %d relays, %d partners, %d events\n", path, s.Load.Rate*s.Length,
						s.Relays, len(s.Destinations), len(s.Faults))
				}
			}
			if asJSON {
				if err := cli.WriteJSON(c.OutOrStdout(), "-", found); err != nil {
					return err
				}
			} else if len(found) > 0 {
				fmt.Fprintln(c.OutOrStdout(), found.Error())
			}
			if len(found) > 0 {
				return cli.ErrFindings
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the problems as JSON")
	return c
}

func rehearseList() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:     "list [FOLDER]",
		Short:   "List the scripts in a folder (default " + scriptsDir + ")",
		Example: "  frostlinkctl rehearse list",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			dir := scriptsDir
			if len(args) > 0 {
				dir = args[0]
			}
			if _, err := os.Stat(dir); err != nil {
				return err
			}
			paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
			if err != nil {
				return err
			}
			type row struct {
				File   string  `json:"file"`
				Name   string  `json:"name"`
				About  string  `json:"about"`
				Length float64 `json:"length_s"`
				Relays int     `json:"relays"`
			}
			rows, bad := []row{}, false
			for _, p := range paths {
				s, err := scenario.Read(p)
				if err != nil {
					bad = true
					fmt.Fprintln(c.ErrOrStderr(), err)
					continue
				}
				rows = append(rows, row{p, s.Name, s.About, s.Length, s.Relays})
			}
			if asJSON {
				err = cli.WriteJSON(c.OutOrStdout(), "-", rows)
			} else {
				t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
				for _, r := range rows {
					fmt.Fprintf(t, "%s\t%.0f s\t%d relays\t%s\n", r.File, r.Length, r.Relays, r.About)
				}
				err = t.Flush()
			}
			if err == nil && bad {
				err = cli.ErrFindings
			}
			return err
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the list as JSON")
	return c
}

// readScript reads a script by its path, or by its name alone.
func readScript(path string) (*scenario.Scenario, error) {
	if _, err := os.Stat(path); err != nil && !strings.ContainsAny(path, "/.") {
		if named := filepath.Join(scriptsDir, path+".toml"); fileThere(named) {
			path = named
		}
	}
	return scenario.Read(path)
}

func fileThere(path string) bool {
	info, err := os.Stat(path)
	return err == nil && !info.IsDir()
}

// relayCommand finds the program of a relay.
func relayCommand(given string) ([]string, error) {
	path := given
	if path == "" {
		own, err := os.Executable()
		if err != nil {
			return nil, err
		}
		path = filepath.Join(filepath.Dir(own), "frostlink")
	}
	if !fileThere(path) {
		return nil, fmt.Errorf("no relay program at %s: build it there (go build -o bin/ ./cmd/...), or name one with --relays", path)
	}
	path, err := filepath.Abs(path) // it runs in a folder of its own
	if err != nil {
		return nil, err
	}
	return []string{path}, nil
}
