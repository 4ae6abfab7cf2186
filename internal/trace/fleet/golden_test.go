package fleet

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestGoldenForms(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "table", Value: &Table{}, WriteOnly: true}, goldentest.Form{Name: "course", Value: &Course{}, WriteOnly: true},
		goldentest.Form{Name: "bad-line", Value: &BadLine{}, WriteOnly: true}, goldentest.Form{Name: "fault", Value: &Fault{}, WriteOnly: true})
}
