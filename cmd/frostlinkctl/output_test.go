package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestWriteResult_PrintsTextWithJSONInAFile(t *testing.T) {
	folder := t.TempDir()
	for _, tt := range []struct {
		name, jsonFile string
		stdout         string
		file           string // the content of the file
		fails          bool
	}{
		{"no JSON", "", "text\n", "", false},
		{"only JSON", stdout, "[\n  1\n]\n", "", false},
		{"both", filepath.Join(folder, "a.json"), "text\n", "[\n  1\n]\n", false},
		{"a file that can't be written", filepath.Join(folder, "none", "a.json"), "text\n", "", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out strings.Builder
			err := writeResult(&out, tt.jsonFile, []int{1}, func(out io.Writer) { fmt.Fprintln(out, "text") })
			if out.String() != tt.stdout || (err != nil) != tt.fails {
				t.Errorf("printed %q, %v; want %q", out.String(), err, tt.stdout)
			}
			if tt.file != "" {
				if raw, err := os.ReadFile(tt.jsonFile); err != nil || string(raw) != tt.file {
					t.Errorf("the file holds %q, %v; want %q", raw, err, tt.file)
				}
			}
		})
	}
}
