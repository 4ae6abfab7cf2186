package main

import (
	"strings"
	"testing"
)

// runTool runs the tool with the given standard input and arguments.
func runTool(t *testing.T, stdin string, args ...string) (code int, out, errs string) {
	t.Helper()
	var stdout, stderr strings.Builder
	code = run(t.Context(), args, strings.NewReader(stdin), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}
