package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"frostlink/internal/cli"
)

// The fleet commands' exit codes say what came of them, and their faults are one line.
func TestFleetCommands(t *testing.T) {
	dir := t.TempDir()
	good, torn := filepath.Join(dir, "n0.log"), filepath.Join(dir, "n1.log")
	line := `0.1 {"trace":1,"at":1000,"ev":"take","id":"a","dest":4}` + "\n"
	for path, text := range map[string]string{good: line, torn: line + `{"trace":1,"at":1`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, tt := range []struct {
		args string
		code int
		out  string // in the output, or in the error's one line
	}{
		{"fleet count " + good, cli.ExitOK, "1 events of 1 relays"},
		{"fleet count " + dir, cli.ExitFindings, "n1.log:2: "},
		{"fleet count " + filepath.Join(dir, "none"), cli.ExitError, "none: no such file"},
		{"fleet play --relays 2 --plays 1 --day calm", cli.ExitOK, "calm"},
		{"fleet play --drawn --relays 12 --plays 2 --day split --seed 5", cli.ExitOK, "split"},
		{"fleet play --drawn --relays 2 --plays 1 --day rush", cli.ExitError, `"rush" is no kind`},
		{"fleet play --day hurd", cli.ExitError, `"hurd" is no day`},
		{"fleet play --relays 0", cli.ExitError, "--relays: 0"},
		{"fleet play --plays 0", cli.ExitError, "--plays: 0"},
	} {
		var out, errs bytes.Buffer
		if code := run(t.Context(), strings.Fields(tt.args), nil, &out, &errs); code != tt.code {
			t.Errorf("%s: code %d, want %d: %s", tt.args, code, tt.code, errs.String())
		}
		if !strings.Contains(out.String()+errs.String(), tt.out) || tt.code == cli.ExitError && strings.Count(errs.String(), "\n") != 1 {
			t.Errorf("%s: printed %q and %q, want %q", tt.args, out.String(), errs.String(), tt.out)
		}
	}
	var out, errs bytes.Buffer
	var table struct {
		Relays int   `json:"relays"`
		Bad    []any `json:"bad_lines"`
	}
	if code := run(t.Context(), []string{"fleet", "count", dir, "--json", "-"}, nil, &out, &errs); code != cli.ExitFindings {
		t.Errorf("code %d", code)
	}
	if err := json.Unmarshal(out.Bytes(), &table); err != nil || table.Relays != 2 || len(table.Bad) != 1 {
		t.Errorf("%v, %+v", err, table)
	}
}
