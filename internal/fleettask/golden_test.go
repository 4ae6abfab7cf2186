package fleettask

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestStoredForms_AreUnchanged(t *testing.T) {
	goldentest.JSON(t, "forms.txt",
		goldentest.Form{Name: "ledger", Value: &Ledger{}}, goldentest.Form{Name: "slice-head", Value: &SliceHeader{}},
		goldentest.Form{Name: "slice-line", Value: &sliceLine{}})
}
