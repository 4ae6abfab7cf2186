package checker

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestGoldenForms(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "event", Value: &Event{}}, goldentest.Form{Name: "breach", Value: &Violation{}},
		goldentest.Form{Name: "scrape", Value: &Scrape{}}, goldentest.Form{Name: "report", Value: &Report{}, WriteOnly: true})
}
