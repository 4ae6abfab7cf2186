package policy

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

func TestDocNamesEveryFile(t *testing.T) {
	doc, err := parser.ParseFile(token.NewFileSet(), "doc.go", nil, parser.ParseComments|parser.PackageClauseOnly)
	if err != nil {
		t.Fatal(err)
	}
	named := regexp.MustCompile(`[a-z0-9_]+\.go\b`).FindAllString(doc.Doc.Text(), -1)
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	files = slices.DeleteFunc(files, func(f string) bool { return f == "doc.go" || strings.HasSuffix(f, "_test.go") })
	if len(files) == 0 {
		t.Fatal("no files found")
	}
	for _, f := range files {
		if !slices.Contains(named, f) {
			t.Errorf("the package comment in doc.go does not name %s", f)
		}
	}
	for _, f := range named {
		if !slices.Contains(files, f) {
			t.Errorf("the package comment in doc.go names %s, which does not exist", f)
		}
	}
}
