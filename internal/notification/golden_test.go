package notification

import (
	"testing"

	"frostlink/internal/goldentest"
)

// The JSON encoding of a notice, as it is posted and as it is stored in the journal.
func TestGolden_NoticeForm(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "notice", Value: &Notice{}})
}
