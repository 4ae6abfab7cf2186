package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"frostlink/internal/goldentest"
)

// Checks the exact error messages and the exit codes of the relay for invalid input.
func TestGoldenBadInput(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "frostlink")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	_, env := writeConfig(t, dir)
	valid, err := os.ReadFile(filepath.Join(dir, "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	text := regexp.MustCompile(`"discovery":"127[^"]*"`).ReplaceAllString(string(valid), `"discovery":"127.0.0.1:9"`)
	var got bytes.Buffer
	for _, tt := range []struct{ name, config, operator string }{
		{"no JSON", "{", ""},
		{"no address", strings.Replace(text, `"listen":`, `"elsewhere":`, 1), ""},
		{"seed", strings.Replace(text, `"seed":"1f"`, `"seed":"xyz"`, 1), ""},
		{"limits", strings.Replace(text, `"memory_mb":64`, `"memory_mb":0`, 1), ""},
		{"discovery", strings.Replace(text, `"discovery":"127`, `"discovery":"127:`, 1), ""},
		{"weights", strings.Replace(text, `"weights":"`, `"weights":"x`, 1), ""},
		{"unknown section", text, "version = 1\n[undeliverd]\nfolder = \"x\"\n"},
		{"wrong type and unknown key", text, "version = 1\n[undelivered]\nfolder = 3\nquota = 1\n"},
		{"version", text, "version = 9\n"},
	} {
		config, operator := filepath.Join(dir, "bad.json"), filepath.Join(dir, "operator.toml")
		if err := errors.Join(os.WriteFile(config, []byte(tt.config), 0o600), os.WriteFile(operator, []byte(tt.operator), 0o600)); err != nil {
			t.Fatal(err)
		}
		args := []string{"-config", config}
		if tt.operator != "" {
			args = append(args, "-operator", operator)
		}
		cmd := exec.Command(program, args...)
		cmd.Env = append(os.Environ(), env...)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		if err := cmd.Run(); err == nil {
			t.Fatalf("%s: the relay accepts the input", tt.name)
		}
		fmt.Fprintf(&got, "# %s: %d\n%s", tt.name, cmd.ProcessState.ExitCode(), strings.ReplaceAll(stderr.String(), dir, "DIR"))
	}
	goldentest.Bytes(t, "bad-input.txt", got.Bytes())
}
