package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"frostlink/internal/faultinjection/harness"
	"frostlink/internal/faultinjection/scenario"
)

// scenariosFolder is the folder in which scenarios that are given by name are looked up.
const scenariosFolder = "scenarios"

// scenarioSuffix is the suffix of scenario files.
const scenarioSuffix = ".toml"

func scenarioCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "scenario",
		Short: "Play incidents on this machine, against real relay processes",
		Long: "Play incidents on this machine. Real relay processes run on loopback addresses, with stand-ins for clients, partners, register\n" +
			"and network. Each run is checked against the platform's six rules.",
		Example: "  frostlinkctl scenario run scenarios/quiet.toml",
	}
	c.AddCommand(scenarioRunCommand(), scenarioRepeatCommand(), scenarioSoakCommand(), scenarioClockStepsCommand(), scenarioCheckCommand(),
		scenarioListCommand())
	return c
}

// playFlags are the flags of all commands that play one scenario.
type playFlags struct {
	seed     int64
	jsonFile string
	relays   string // path of the relay program
}

func (p *playFlags) add(c *cobra.Command) {
	c.Flags().Int64Var(&p.seed, "seed", 0, "seed of all random choices (default the script's)")
	addPlayOutputFlags(c, &p.jsonFile, &p.relays, "the result")
}

// addPlayOutputFlags adds --json and --relays, which are flags of all commands that play scenarios.
func addPlayOutputFlags(c *cobra.Command, jsonFile, relays *string, what string) {
	c.Flags().StringVar(jsonFile, "json", "", "write "+what+" as JSON to this `file`; - means standard output")
	c.Flags().StringVar(relays, "relays", "", "the relay `program` (default frostlink in the folder of this program)")
}

// prepare reads the scenario and locates the relay program. If --seed is not given, it uses the scenario's seed.
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

// readScenario reads a scenario given by its path, or by its name in scenariosFolder.
func readScenario(path string) (*scenario.Scenario, error) {
	if _, err := os.Stat(path); err != nil && !strings.ContainsAny(path, "/.") {
		if named := filepath.Join(scenariosFolder, path+scenarioSuffix); isFile(named) {
			path = named
		}
	}
	return scenario.Read(path)
}
