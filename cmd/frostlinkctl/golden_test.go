package main

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestJSONForms_AreUnchanged(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "measured", Value: &measurement{}, WriteOnly: true},
		goldentest.Form{Name: "stepped-run", Value: &steppedRun{}, WriteOnly: true}, goldentest.Form{Name: "spread", Value: &spread{}, WriteOnly: true},
		goldentest.Form{Name: "soak-run", Value: &soakRun{}, WriteOnly: true}, goldentest.Form{Name: "followed", Value: &followedMessages{}, WriteOnly: true},
		goldentest.Form{Name: "asked", Value: &memberStatus{}, WriteOnly: true}, goldentest.Form{Name: "checked", Value: &checkedExport{}, WriteOnly: true})
}
