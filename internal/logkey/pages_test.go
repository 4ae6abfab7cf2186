package logkey

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// goPath matches the path of a Go file in backquotes on a page.
var goPath = regexp.MustCompile("`((?:[a-z0-9_-]+/)+[a-z0-9_]+\\.go)`")

// missingFiles returns the Go files that a text names but that exist neither under the repository's root nor under internal/.
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

// TestArchitecturePageNamesFilesThatExist checks that the architecture page names Go files and that all of them exist.
func TestArchitecturePageNamesFilesThatExist(t *testing.T) {
	text, err := os.ReadFile(root + "/docs/architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	if named := len(goPath.FindAllString(string(text), -1)); named < 20 {
		t.Errorf("the page names only %d files: it is probably not being read", named)
	}
	for _, file := range missingFiles(string(text)) {
		t.Errorf("docs/architecture.md names %s, which does not exist", file)
	}
	if planted := missingFiles("`relay/no_such_file.go`"); len(planted) != 1 {
		t.Errorf("missingFiles of a text with one missing file gives %q", planted)
	}
}
