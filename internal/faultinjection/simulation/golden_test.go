package simulation

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestGoldenForms(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "result", Value: &Result{}, WriteOnly: true}, goldentest.Form{Name: "row", Value: &Summary{}, WriteOnly: true},
		goldentest.Form{Name: "found", Value: &FailedRun{}, WriteOnly: true})
}
