package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"frostlink/internal/faultinjection/harness"
	"frostlink/internal/faultinjection/scenario"
)

// scenariosFolder is where scenarios that are named without a path are looked for.
const scenariosFolder = "scenarios"

// scenarioSuffix is that of a scenario's file.
const scenarioSuffix = ".toml"

func scenarioCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "scenario",
		Short: "Rehearse an incident on this machine, against real relay processes",
		Long: "Rehearse an incident on this machine: real relay processes, with clients, partners, register and network\n" +
			"stood in for on loopback addresses, and an auditor of the six rules.",
		Example: "  frostlinkctl scenario run scenarios/quiet.toml",
	}
	c.AddCommand(scenarioRunCommand(), scenarioRepeatCommand(), scenarioSoakCommand(), scenarioClockStepsCommand(), scenarioCheckCommand(),
		scenarioListCommand())
	return c
}

// playFlags are the flags of the commands that play one scenario.
type playFlags struct {
	seed     int64
	jsonFile string
	relays   string // path of the relay's program
}

func (p *playFlags) add(c *cobra.Command) {
	c.Flags().Int64Var(&p.seed, "seed", 0, "seed of all draws (default the script's)")
	addPlayOutputFlags(c, &p.jsonFile, &p.relays, "the result")
}

// addPlayOutputFlags adds the flags of all commands that play scenarios.
func addPlayOutputFlags(c *cobra.Command, jsonFile, relays *string, what string) {
	c.Flags().StringVar(jsonFile, "json", "", "write "+what+" as JSON to this `file`; - is standard output")
	c.Flags().StringVar(relays, "relays", "", "the relay's `program` (default frostlink beside this program)")
}

// prepare reads the scenario and finds the relay's program. Without --seed the seed is the scenario's.
func (p *playFlags) prepare(c *cobra.Command, path string) (*scenario.Scenario, harness.Options, error) {
	s, err := readScenario(path)
	if err != nil {
		return nil, harness.Options{}, err
	}
	if !c.Flags().Changed("seed") {
		p.seed = s.Seed
	}
	command, err := relayCommand(p.relays)
	return s, harness.Options{Seed: p.seed, RelayCommand: command}, err
}

// readScenario reads a scenario by its path, or by its name alone.
func readScenario(path string) (*scenario.Scenario, error) {
	if _, err := os.Stat(path); err != nil && !strings.ContainsAny(path, "/.") {
		if named := filepath.Join(scenariosFolder, path+scenarioSuffix); isFile(named) {
			path = named
		}
	}
	return scenario.Read(path)
}
