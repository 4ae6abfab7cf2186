package cli

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

func TestRun_ExitCodes(t *testing.T) {
	for _, tt := range []struct {
		name   string
		err    error
		code   int
		stderr string
	}{
		{"done", nil, ExitOK, ""},
		{"found something", fmt.Errorf("audit: %w", ErrFindings), ExitFindings, ""},
		{"could not run", errors.New("no such relay"), ExitError, "no such relay\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			root := &cobra.Command{Use: "x", RunE: func(*cobra.Command, []string) error { return tt.err }}
			var out, errs bytes.Buffer
			code := Run(t.Context(), root, nil, strings.NewReader(""), &out, &errs)
			if code != tt.code || errs.String() != tt.stderr || out.Len() > 0 {
				t.Errorf("exit code %d, stderr %q, stdout %q; want %d, %q", code, errs.String(), out.String(), tt.code, tt.stderr)
			}
		})
	}
}

func TestWriteJSON(t *testing.T) {
	const want = "{\n  \"a\": 1\n}\n"
	value := map[string]int{"a": 1}
	var out bytes.Buffer
	if err := WriteJSON(&out, "-", value); err != nil || out.String() != want {
		t.Errorf("to standard output: %q, %v", out.String(), err)
	}
	path := filepath.Join(t.TempDir(), "f.json")
	if err := WriteJSON(nil, path, value); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(path); err != nil || string(got) != want {
		t.Errorf("to a file: %q, %v", got, err)
	}
	if err := WriteJSON(nil, filepath.Join(path, "below"), value); err == nil {
		t.Error("no error for a file that can't be written")
	}
}
