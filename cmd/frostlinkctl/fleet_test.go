package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"frostlink/internal/cli"
)

// writeLogs writes the logs of two relays. The second log ends in a torn line.
func writeLogs(t *testing.T) (folder, goodLog string) {
	t.Helper()
	folder = t.TempDir()
	goodLog = filepath.Join(folder, "n0.log")
	line := `0.1 {"trace":1,"at":1000,"ev":"take","id":"a","dest":4}` + "\n"
	for path, text := range map[string]string{goodLog: line, filepath.Join(folder, "n1.log"): line + `{"trace":1,"at":1`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder, goodLog
}

func TestFleetCommands_ReportByExitCodeAndOneLine(t *testing.T) {
	folder, goodLog := writeLogs(t)
	for _, tt := range []struct {
		args string
		code int
		want string // part of the output, or of the error, which is one line
	}{
		{"fleet count " + goodLog, cli.ExitOK, "1 events of 1 relays"},
		{"fleet count " + folder, cli.ExitFindings, "n1.log:2: "},
		{"fleet count " + filepath.Join(folder, "none"), cli.ExitError, "none: no such file"},
		{"fleet play --relays 2 --plays 1 --day calm", cli.ExitOK, "calm"},
		{"fleet play --drawn --relays 12 --plays 2 --day split --seed 5", cli.ExitOK, "split"},
		{"fleet play --drawn --relays 2 --plays 1 --day rush", cli.ExitError, `unknown kind of drawn day "rush"`},
		{"fleet play --day hurd", cli.ExitError, `unknown day "hurd"`},
		{"fleet play --relays 0", cli.ExitError, "--relays: 0"},
		{"fleet play --plays 0", cli.ExitError, "--plays: 0"},
	} {
		t.Run(strings.ReplaceAll(tt.args, folder, "FOLDER"), func(t *testing.T) {
			code, out, errs := runTool(t, "", strings.Fields(tt.args)...)
			if code != tt.code {
				t.Errorf("exit %d, want %d: %s", code, tt.code, errs)
			}
			if !strings.Contains(out+errs, tt.want) || tt.code == cli.ExitError && strings.Count(errs, "\n") != 1 {
				t.Errorf("printed %q and %q, want %q", out, errs, tt.want)
			}
		})
	}
}

func TestFleetCount_JSONAloneOnStandardOutput(t *testing.T) {
	folder, _ := writeLogs(t)
	var table struct {
		Relays   int   `json:"relays"`
		BadLines []any `json:"bad_lines"`
	}
	code, out, _ := runTool(t, "", "fleet", "count", folder, "--json", "-")
	if code != cli.ExitFindings {
		t.Errorf("exit %d, want %d", code, cli.ExitFindings)
	}
	if err := json.Unmarshal([]byte(out), &table); err != nil || table.Relays != 2 || len(table.BadLines) != 1 {
		t.Errorf("decoding the JSON: error %v, result %+v; want 2 relays and 1 bad line", err, table)
	}
}
