package logkey

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// goPath matches a Go file that a page names in code quotes.
var goPath = regexp.MustCompile("`((?:[a-z0-9_-]+/)+[a-z0-9_]+\\.go)`")

// missingFiles returns the Go files that a text names and that exist neither under the root nor under internal/.
func missingFiles(text string) (missing []string) {
	for _, m := range goPath.FindAllStringSubmatch(text, -1) {
		_, atRoot := os.Stat(filepath.Join(root, m[1]))
		_, internal := os.Stat(filepath.Join(root, "internal", m[1]))
		if atRoot != nil && internal != nil {
			missing = append(missing, m[1])
		}
	}
	return missing
}

// TestArchitecturePageNamesFilesThatExist: the page of the architecture leads to files; none that it names is gone.
func TestArchitecturePageNamesFilesThatExist(t *testing.T) {
	text, err := os.ReadFile(root + "/docs/architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	if named := len(goPath.FindAllString(string(text), -1)); named < 20 {
		t.Errorf("the page names %d files: is it read at all?", named)
	}
	for _, file := range missingFiles(string(text)) {
		t.Errorf("docs/architecture.md names %s, which does not exist", file)
	}
	if planted := missingFiles("`relay/no_such_file.go`"); len(planted) != 1 {
		t.Errorf("a planted file that does not exist: found %q", planted)
	}
}
