package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"frostlink/internal/faultinjection/scenario"
)

// scenarioListFlags are the flags of scenario list.
type scenarioListFlags struct {
	json bool
}

// listedScenario is an entry in the output of scenario list.
type listedScenario struct {
	File   string  `json:"file"`
	Name   string  `json:"name"`
	About  string  `json:"about"`
	Length float64 `json:"length_s"`
	Relays int     `json:"relays"`
}

func scenarioListCommand() *cobra.Command {
	var f scenarioListFlags
	c := &cobra.Command{
		Use:     "list [FOLDER]",
		Short:   "List the scripts in a folder (default " + scenariosFolder + ")",
		Example: "  frostlinkctl scenario list",
		Args:    cobra.MaximumNArgs(1),
		RunE:    f.run,
	}
	c.Flags().BoolVar(&f.json, "json", false, "print the list as JSON")
	return c
}

func (f *scenarioListFlags) run(c *cobra.Command, args []string) error {
	folder := scenariosFolder
	if len(args) > 0 {
		folder = args[0]
	}
	listed, unreadable, err := readScenarios(folder)
	if err != nil {
		return err
	}
	for _, err := range unreadable {
		fmt.Fprintln(c.ErrOrStderr(), err)
	}
	printText := func(out io.Writer) error { return printScenarios(out, listed) }
	if err := printResult(c.OutOrStdout(), f.json, listed, printText); err != nil {
		return err
	}
	return findings(len(unreadable) > 0)
}

// readScenarios reads all scenarios in a folder. For each scenario that can't be read, it adds the error to unreadable.
func readScenarios(folder string) (listed []listedScenario, unreadable []error, err error) {
	if _, err := os.Stat(folder); err != nil {
		return nil, nil, err //nolint:wrapcheck // the error names the operation and the folder
	}
	paths, err := filepath.Glob(filepath.Join(folder, "*"+scenarioSuffix))
	if err != nil {
		return nil, nil, err //nolint:wrapcheck // the error reports a malformed pattern, for which only FOLDER can be the cause
	}
	listed = []listedScenario{} // encoded as [] in JSON if empty
	for _, path := range paths {
		s, err := scenario.Read(path)
		if err != nil {
			unreadable = append(unreadable, err)
			continue
		}
		listed = append(listed, listedScenario{File: path, Name: s.Name, About: s.About, Length: s.Length, Relays: s.Relays})
	}
	return listed, unreadable, nil
}

func printScenarios(out io.Writer, listed []listedScenario) error {
	table := newTextTable(out)
	for _, s := range listed {
		fmt.Fprintf(table, "%s\t%.0f s\t%d relays\t%s\n", s.File, s.Length, s.Relays, s.About)
	}
	return flushTable(table)
}
