package fleettask

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestGoldenForms(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "ledger", Value: &Ledger{}}, goldentest.Form{Name: "slice-head", Value: &SliceHead{}},
		goldentest.Form{Name: "slice-line", Value: &sliceLine{}})
}
