package main

import (
	"strings"
	"testing"

	"frostlink/internal/cli"
)

// A scenario that is named without a path is one of the repository's scenarios folder, which is also what list shows.
func TestScenarioCommands_FindScenariosByName(t *testing.T) {
	t.Chdir("../..")
	for _, tt := range []struct {
		args   string
		code   int
		output string // part of what is printed
	}{
		{"rehearse list", cli.ExitOK, "scenarios/quiet.toml"},
		{"rehearse check quiet", cli.ExitOK, "quiet: fine; "},
		{"rehearse run quiet --relays no-relay", cli.ExitError, "no relay program at no-relay"},
		{"rehearse repeat quiet --relays no-relay", cli.ExitError, "no relay program at no-relay"},
	} {
		t.Run(tt.args, func(t *testing.T) {
			code, out, errs := ctl(t, "", strings.Fields(tt.args)...)
			if code != tt.code || !strings.Contains(out+errs, tt.output) {
				t.Errorf("exit %d, stdout %q, stderr %q; want exit %d, %q", code, out, errs, tt.code, tt.output)
			}
		})
	}
}
