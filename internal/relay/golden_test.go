package relay

import (
	"testing"

	"frostlink/internal/goldentest"
	"frostlink/policy"
)

func TestGoldenForms(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "state", Value: &handoverState{}}, goldentest.Form{Name: "memory", Value: &policy.Snapshot{}},
		goldentest.Form{Name: "configuration", Value: &Config{}})
}
