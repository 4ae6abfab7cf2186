package goldentest

import (
	"strings"
	"testing"
)

// recorder is a testing.TB that records failures instead of failing the test.
type recorder struct {
	testing.TB
	failures []string
}

func (r *recorder) Helper()                        {}
func (r *recorder) Errorf(format string, _ ...any) { r.failures = append(r.failures, format) }

// JSON fails if a field is renamed without a tag, gets another tag, or is removed.
func TestJSON_SeesARenamedField(t *testing.T) {
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
	for _, tt := range []struct {
		name  string
		value any
		fails bool
	}{
		{"unchanged", &stored{}, false},
		{"renamed", &renamed{}, true},
		{"another tag", &retagged{}, true},
		{"dropped", &dropped{}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := &recorder{TB: t}
			JSON(r, "planted.txt", Form{Name: "stored", Value: tt.value})
			if failed := len(r.failures) > 0; failed != tt.fails {
				t.Errorf("failures: %s; want any: %v", strings.Join(r.failures, "; "), tt.fails)
			}
		})
	}
}
