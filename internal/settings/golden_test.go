package settings

import (
	"testing"

	"mallowlead/internal/goldentest"
)

func TestGoldenForms(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "settings", Value: &Settings{}})
}
