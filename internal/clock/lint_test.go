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

// moduleRoot is the module's root folder.
const moduleRoot = "../.."

// wallOnly are the methods and functions of package time whose result or argument is a wall-clock time
// without a monotonic reading.
var wallOnly = []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro"}

// allowed are the uses of wall-clock time outside of this package, with their reasons. The key is a file, a
// colon, and the use in the form that wallTimeUses returns.
var allowed = map[string]string{
	"cmd/frostlinkctl/follow.go: UnixMilli":         "a date of a log, shown to people",
	"cmd/frostlinkctl/lease.go: UnixMilli":          "a date of a record, shown to people",
	"internal/socket/socket.go: Unix":               "a deadline that has passed on any clock",
	"internal/deadletter/due.go: UnixMilli":         "conversion of a date from the store's caller to a key, and back",
	"internal/deadletter/order.go: Unix":            "an order that clients specify as a date",
	"internal/deadletter/client.go: time.Now":       "the tool works on a folder without a running relay",
	"internal/deadletter/record.go: time.Time json": "dates on the relay's timeline, kept for people",
	"internal/deadletter/newest.go: time.Time json": "dates on the relay's timeline, kept for people",
}

// wallTimeUses returns the uses of wall-clock time in a file.
func wallTimeUses(path string, file *ast.File) (uses []string) {
	add := func(use string) { uses = append(uses, filepath.ToSlash(path)+": "+use) }
	calledFunctions := map[ast.Node]bool{}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			calledFunctions[n.Fun] = true
			if stripsMonotonicReading(n) {
				add("Round(0)")
			}
		case *ast.SelectorExpr:
			if slices.Contains(wallOnly, n.Sel.Name) {
				add(n.Sel.Name)
			}
			if isTimeNow(n) && !calledFunctions[n] {
				add("time.Now") // used as a function value: its callers may store the result
			}
		case *ast.Field:
			if isJSONTime(n) {
				add("time.Time json") // encoding strips the monotonic reading
			}
		}
		return true
	})
	return uses
}

// stripsMonotonicReading reports whether a call is t.Round(0).
func stripsMonotonicReading(call *ast.CallExpr) bool {
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || function.Sel.Name != "Round" || len(call.Args) != 1 {
		return false
	}
	argument, ok := call.Args[0].(*ast.BasicLit)
	return ok && argument.Value == "0"
}

// isTimeNow reports whether an expression is time.Now.
func isTimeNow(e *ast.SelectorExpr) bool {
	pkg, ok := e.X.(*ast.Ident)
	return ok && pkg.Name == "time" && e.Sel.Name == "Now"
}

// isJSONTime reports whether a struct's field is a time.Time that is encoded as JSON.
func isJSONTime(f *ast.Field) bool {
	s, ok := f.Type.(*ast.SelectorExpr)
	return ok && s.Sel.Name == "Time" && f.Tag != nil && strings.Contains(f.Tag.Value, "json:")
}

// isExempt reports whether a folder is not checked. Exempt are hidden folders, this package, and the fault
// injection, whose stand-ins represent other machines with correct clocks.
func isExempt(folder string) bool {
	hidden := strings.HasPrefix(filepath.Base(folder), ".") && folder != "."
	return hidden || folder == "internal/faultinjection" || folder == "internal/clock"
}

// No other package takes spans from the wall clock.
func TestWallClock_IsReadOnlyHere(t *testing.T) {
	used := map[string]bool{}
	err := filepath.WalkDir(moduleRoot, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(moduleRoot, path)
		if err != nil {
			return err
		}
		switch {
		case d.IsDir() && isExempt(relative):
			return fs.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		for _, use := range wallTimeUses(relative, file) {
			used[use] = true
			if allowed[use] == "" {
				t.Errorf("%s: wall-clock time; use an Instant or a span from internal/clock", use)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for use := range allowed {
		if !used[use] {
			t.Errorf("%s: listed as allowed, but not used", use)
		}
	}
}

// wallTimeUses finds each kind of use, and does not report similar code that keeps the monotonic reading.
func TestWallTimeUses_FindsEachUse(t *testing.T) {
	for source, want := range map[string]string{
		`var at = time.Now().UnixNano()`:                                     "UnixNano",
		`var at = time.UnixMilli(3)`:                                         "UnixMilli",
		`var at = time.Now().Round(0)`:                                       "Round(0)",
		`var now = time.Now`:                                                 "time.Now",
		"type record struct { At time.Time `json:\"at\"` }":                  "time.Time json",
		`func until(d time.Duration) time.Time { return time.Now().Add(d) }`: "",
		`var since = time.Since(time.Now().Round(time.Second))`:              "",
	} {
		t.Run(source, func(t *testing.T) {
			file, err := parser.ParseFile(token.NewFileSet(), "source.go", "package source\n"+source, 0)
			if err != nil {
				t.Fatal(err)
			}
			wanted := []string{}
			if want != "" {
				wanted = []string{"source.go: " + want}
			}
			if got := wallTimeUses("source.go", file); fmt.Sprint(got) != fmt.Sprint(wanted) {
				t.Errorf("found %v, want %v", got, wanted)
			}
		})
	}
}
