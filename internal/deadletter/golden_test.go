package deadletter

import (
	"encoding/json"
	"testing"

	"frostlink/internal/goldentest"
)

func TestGoldenForms(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "record", Value: &Record{}}, goldentest.Form{Name: "exported", Value: &Exported{}},
		goldentest.Form{Name: "totals", Value: &Totals{}}, goldentest.Form{Name: "group", Value: &Group{}},
		goldentest.Form{Name: "newest", Value: &newestMessage{}}, goldentest.Form{Name: "era", Value: &trackingEpoch{}},
		goldentest.Form{Name: "listing", Value: &Listing{}}, goldentest.Form{Name: "stats", Value: &Stats{}},
		goldentest.Form{Name: "verified", Value: &Verified{}}, goldentest.Form{Name: "command", Value: &Command{}},
		goldentest.Form{Name: "check-order", Value: &DryRunRequest{}}, goldentest.Form{Name: "rule-check", Value: &DryRunResult{}},
		goldentest.Form{Name: "fault", Value: &Fault{}}, goldentest.Form{Name: "subject", Value: &Subject{}})
}

// A store written by an earlier build can be read completely.
func TestStore_ReadsGoldenFile(t *testing.T) {
	goldentest.Regenerate(t, "store.db", fileName, func(dir string) {
		s := openStore(t, dir)
		storeMessages(t, s, "a", "b", "c")
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	})
	s := openStore(t, goldentest.Copy(t, "store.db", fileName))
	totals, groups, err := s.Totals()
	if err != nil || totals.Messages != 3 || totals.States[Held] != 3 || len(groups) != 1 || groups[0].Messages != 3 {
		t.Errorf("totals %+v, groups %+v, %v", totals, groups, err)
	}
	for _, id := range []string{"a", "b", "c"} {
		r, err := s.Get(id)
		if err != nil {
			t.Fatal(err)
		}
		body, err := s.Body(id)
		if err != nil || string(body) != "body of "+id {
			t.Errorf("body %q, %v", body, err)
		}
		raw, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		goldentest.Bytes(t, "record-"+id+".json", append(raw, '\n'))
	}
}
