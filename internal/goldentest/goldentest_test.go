package goldentest

import (
	"strings"
	"testing"
)

// failures is a test that only counts what it is told.
type failures struct {
	testing.TB
	said []string
}

func (f *failures) Helper()                   {}
func (f *failures) Errorf(s string, _ ...any) { f.said = append(f.said, s) }

// TestRenamedFieldIsSeen: a field that is renamed without a tag, or whose tag is changed, fails the comparison, and so does one
// that is dropped.
func TestRenamedFieldIsSeen(t *testing.T) {
	type stored struct {
		ID   string `json:"id"`
		Left int
	}
	type renamed struct {
		ID       string `json:"id"`
		TimeLeft int
	}
	type retagged struct {
		ID   string `json:"request_id"`
		Left int
	}
	type dropped struct {
		ID string `json:"id"`
	}
	for _, c := range []struct {
		name  string
		value any
		fails bool
	}{{"as it was", &stored{}, false}, {"renamed", &renamed{}, true}, {"another tag", &retagged{}, true}, {"dropped", &dropped{}, true}} {
		f := &failures{TB: t}
		JSON(f, "planted.txt", Form{Name: "stored", Value: c.value})
		if failed := len(f.said) > 0; failed != c.fails {
			t.Errorf("%s: said %s, want a failure: %v", c.name, strings.Join(f.said, "; "), c.fails)
		}
	}
}
