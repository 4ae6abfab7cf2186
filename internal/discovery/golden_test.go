package discovery

import (
	"testing"

	"frostlink/internal/goldentest"
)

// The JSON encoding of the endpoint list, which discovery sends and the journal stores.
func TestGolden_ListForm(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "list", Value: &EndpointList{}})
}
