package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"frostlink/internal/cli"
)

// A scenario that is given by name is looked up in the repository's scenarios folder, which is also the folder that list shows by default.
func TestScenarioCommands_FindScenariosByName(t *testing.T) {
	t.Chdir("../..")
	for _, group := range []string{"scenario", "rehearse"} {
		for _, tt := range []struct {
			args   string
			code   int
			output string // part of standard output or standard error
		}{
			{"list", cli.ExitOK, "scenarios/quiet.toml"},
			{"check quiet", cli.ExitOK, "quiet: fine; "},
			{"run quiet --relays no-relay", cli.ExitError, "no relay program at no-relay"},
			{"repeat quiet --relays no-relay", cli.ExitError, "no relay program at no-relay"},
		} {
			t.Run(group+" "+tt.args, func(t *testing.T) {
				code, out, errs := runTool(t, "", strings.Fields(group+" "+tt.args)...)
				if code != tt.code || !strings.Contains(out+errs, tt.output) {
					t.Errorf("exit %d, stdout %q, stderr %q; want exit %d, %q", code, out, errs, tt.code, tt.output)
				}
			})
		}
	}
}

func TestScenarioCommands_ReportWhatIsWrong(t *testing.T) {
	folder := t.TempDir()
	bad := filepath.Join(folder, "bad.toml")
	if err := os.WriteFile(bad, []byte("version = 1\nname = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		args        string
		code        int
		stdout      string // part of it
		stderr      string // part of it
		stderrLines int
	}{
		{"check BAD", cli.ExitFindings, "bad.toml:2: name: ", "", 0},
		{"check BAD --json", cli.ExitFindings, `"key": "name"`, "", 0},
		{"check none.toml", cli.ExitError, "", "none.toml: no such file", 1},
		{"list FOLDER", cli.ExitFindings, "", "bad.toml:2: name: ", 0},
		{"list FOLDER --json", cli.ExitFindings, "[]\n", "bad.toml:2: name: ", 0},
		{"list none", cli.ExitError, "", "stat none: no such file", 1},
		{"repeat BAD --runs 1", cli.ExitError, "", "--runs: 1, must be at least 2", 1},
		{"soak --relays no-relay", cli.ExitError, "", "no relay program at no-relay", 1},
		{"clock-steps BAD --relays no-relay", cli.ExitError, "", "no relay program at no-relay", 1},
	} {
		t.Run(tt.args, func(t *testing.T) {
			args := strings.NewReplacer("BAD", bad, "FOLDER", folder).Replace("scenario " + tt.args)
			code, out, errs := runTool(t, "", strings.Fields(args)...)
			if code != tt.code || !strings.Contains(out, tt.stdout) || !strings.Contains(errs, tt.stderr) {
				t.Errorf("exit %d, stdout %q, stderr %q; want exit %d, %q, %q", code, out, errs, tt.code, tt.stdout, tt.stderr)
			}
			if tt.stderrLines > 0 && strings.Count(errs, "\n") != tt.stderrLines {
				t.Errorf("stderr %q, want %d lines", errs, tt.stderrLines)
			}
		})
	}
}
