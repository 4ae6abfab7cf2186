package logkey

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	root = "../.."
	page = root + "/docs/operators/log-messages.md"
)

// logged are the folders of the programs in production: on-call staff read what they log at warn level or above.
var logged = []string{"cmd/frostlink", "cmd/frostlink-coord", "internal"}

// excludedFolders are folders whose logs come only from tests and from tools on a developer's machine.
var excludedFolders = []string{"internal/faultinjection", "internal/goldentest", "internal/testseed", "internal/cli"}

// messages returns the messages that a file logs at warn level or above. A message that is neither a literal nor a constant of the file is
// returned as an empty string.
func messages(file *ast.File, constants map[string]string) (found []string) {
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !slices.Contains([]string{"Warn", "Error", "WarnContext", "ErrorContext"}, method.Sel.Name) || len(call.Args) == 0 {
			return true
		}
		message := call.Args[0]
		if strings.HasSuffix(method.Sel.Name, "Context") && len(call.Args) > 1 {
			message = call.Args[1]
		}
		switch m := message.(type) {
		case *ast.BasicLit:
			text, err := strconv.Unquote(m.Value)
			if err != nil {
				text = ""
			}
			found = append(found, text)
		case *ast.Ident:
			found = append(found, constants[m.Name])
		}
		return true
	})
	return found
}

// stringConstants returns the string constants of a file.
func stringConstants(file *ast.File) map[string]string {
	constants := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		for i, name := range spec.Names {
			if i >= len(spec.Values) {
				continue
			}
			if literal, ok := spec.Values[i].(*ast.BasicLit); ok && literal.Kind == token.STRING {
				constants[name.Name], _ = strconv.Unquote(literal.Value)
			}
		}
		return true
	})
	return constants
}

// allMessages returns each message that the programs log at warn level or above, with a file that logs it.
func allMessages(t *testing.T) map[string]string {
	t.Helper()
	all := map[string]string{}
	for _, folder := range logged {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			rel, err := filepath.Rel(root, path)
			if err != nil {
				return err
			}
			if d.IsDir() && slices.Contains(excludedFolders, filepath.ToSlash(rel)) {
				return filepath.SkipDir
			}
			if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			for _, message := range messages(file, stringConstants(file)) {
				all[message] = rel
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return all
}

// row matches a row of the page's tables: a message, its meaning, and the action to take.
var row = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| [^|]+ \\| [^|]+ \\|$")

// TestEveryWarningIsExplained checks that each message logged at warn level or above has a row on the page for on-call staff, and that
// each row is for a message that a program logs.
func TestEveryWarningIsExplained(t *testing.T) {
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	explained := map[string]bool{}
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
		explained[m[1]] = true
	}
	logged := allMessages(t)
	if len(logged) < 20 {
		t.Fatalf("only %d messages found: the source files are probably not being read", len(logged))
	}
	for message, file := range logged {
		if !explained[message] {
			t.Errorf("%s logs %q, but %s has no row for it", file, message, page)
		}
	}
	for message := range explained {
		if logged[message] == "" {
			t.Errorf("%s has a row for %q, which no program logs", page, message)
		}
	}
}

// TestPlantedMessagesAreFound checks that messages finds warnings logged by a package function and by a logger's method, given as
// literals and as constants, and skips messages below warn level.
func TestPlantedMessagesAreFound(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "planted.go", `package planted
const lost = "lease lost"
func f(log *slog.Logger) {
	slog.Warn("disk slow", "err", err)
	log.Error(lost)
	slog.ErrorContext(ctx, "gone")
	slog.Info("started")
}`, 0)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"disk slow", "lease lost", "gone"}
	if got := messages(file, stringConstants(file)); !slices.Equal(got, want) {
		t.Errorf("found %q, want %q", got, want)
	}
}
