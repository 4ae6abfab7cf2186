package discovery

import (
	"testing"

	"frostlink/internal/goldentest"
)

// The form of the endpoint list as discovery sends it, and as the journal stores it.
func TestGolden_ListForm(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "list", Value: &EndpointList{}})
}
