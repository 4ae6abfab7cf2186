package fleet

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestGoldenForms(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "table", Value: &Summary{}, WriteOnly: true}, goldentest.Form{Name: "course", Value: &History{}, WriteOnly: true},
		goldentest.Form{Name: "bad-line", Value: &BadLine{}, WriteOnly: true}, goldentest.Form{Name: "fault", Value: &Violation{}, WriteOnly: true})
}
