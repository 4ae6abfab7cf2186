package clock

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// root is the module's.
const root = "../.."

// wallOnly are the methods and functions of package time whose result or argument is wall time without a monotonic reading.
var wallOnly = []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro"}

// allowed are the uses of wall time outside this package, each by the file and what is used there, with its reason.
var allowed = map[string]string{
	"cmd/frostlinkctl/follow.go: UnixMilli":         "a date of a log, shown to people",
	"cmd/frostlinkctl/lease.go: UnixMilli":          "a date of a record, shown to people",
	"internal/socket/socket.go: Unix":               "a deadline that has passed on any clock",
	"internal/deadletter/due.go: UnixMilli":         "the key of a date that the store was given, and its way back",
	"internal/deadletter/order.go: Unix":            "an order that clients give as a date",
	"internal/deadletter/client.go: time.Now":       "the tool on a folder of which no relay runs",
	"internal/deadletter/record.go: time.Time json": "dates on the relay's timeline, kept for people",
	"internal/deadletter/newest.go: time.Time json": "the same",
}

// findings gives the uses of wall time in a file, each as its path, a colon, and what is used.
func findings(path string, file *ast.File) (found []string) {
	add := func(what string) { found = append(found, filepath.ToSlash(path)+": "+what) }
	called := map[ast.Node]bool{} // what stands as the function of a call
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			called[n.Fun] = true
			if s, ok := n.Fun.(*ast.SelectorExpr); ok && s.Sel.Name == "Round" && len(n.Args) == 1 {
				if zero, ok := n.Args[0].(*ast.BasicLit); ok && zero.Value == "0" {
					add("Round(0)")
				}
			}
		case *ast.SelectorExpr:
			if slices.Contains(wallOnly, n.Sel.Name) {
				add(n.Sel.Name)
			}
			if pkg, ok := n.X.(*ast.Ident); ok && pkg.Name == "time" && n.Sel.Name == "Now" && !called[n] {
				add("time.Now") // as a value: whoever calls it may write the result down
			}
		case *ast.Field:
			if s, ok := n.Type.(*ast.SelectorExpr); ok && s.Sel.Name == "Time" && n.Tag != nil && strings.Contains(n.Tag.Value, "json:") {
				add("time.Time json") // it loses its monotonic reading on the way
			}
		}
		return true
	})
	return found
}

// No package but this one reckons with the wall clock. The rehearsals' stand-ins are other machines, whose clocks are right.
func TestWallClockIsReadHereOnly(t *testing.T) {
	used := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		switch {
		case d.IsDir() && (strings.HasPrefix(d.Name(), ".") && rel != "." || rel == "internal/faultinjection" || rel == "internal/clock"):
			return fs.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		for _, f := range findings(rel, file) {
			if used[f] = true; allowed[f] == "" {
				t.Errorf("%s: use an Instant or a span of internal/clock", f)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for f := range allowed {
		if !used[f] {
			t.Errorf("%s is allowed, and not there", f)
		}
	}
}

// Each use that the check is for is found where it is planted.
func TestPlantedUsesAreFound(t *testing.T) {
	for source, want := range map[string]string{
		`var at = time.Now().UnixNano()`:                                     "UnixNano",
		`var at = time.UnixMilli(3)`:                                         "UnixMilli",
		`var at = time.Now().Round(0)`:                                       "Round(0)",
		`var now = time.Now`:                                                 "time.Now",
		"type record struct { At time.Time `json:\"at\"` }":                  "time.Time json",
		`func until(d time.Duration) time.Time { return time.Now().Add(d) }`: "",
		`var since = time.Since(time.Now().Round(time.Second))`:              "",
	} {
		file, err := parser.ParseFile(token.NewFileSet(), "planted.go", "package planted\n"+source, 0)
		if err != nil {
			t.Fatal(err)
		}
		wanted := []string{}
		if want != "" {
			wanted = []string{"planted.go: " + want}
		}
		if got := findings("planted.go", file); fmt.Sprint(got) != fmt.Sprint(wanted) {
			t.Errorf("%s: found %v, want %v", source, got, wanted)
		}
	}
}
