package coord

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestStoredForms_AreUnchanged(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "entry", Value: &Entry{}}, goldentest.Form{Name: "result", Value: &Result{}},
		goldentest.Form{Name: "snapshot", Value: &snapshotData{}}, goldentest.Form{Name: "status", Value: &Status{}},
		goldentest.Form{Name: "lease", Value: &Lease{}}, goldentest.Form{Name: "value", Value: &Value{}},
		goldentest.Form{Name: "change", Value: &Change{}}, goldentest.Form{Name: "member", Value: &Member{}})
}
