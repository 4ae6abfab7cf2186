package main

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestJSONForms_AreUnchanged(t *testing.T) {
	goldentest.JSON(t, "forms.txt",
		goldentest.Form{Name: "proof", Value: &proof{}, WriteOnly: true},
		goldentest.Form{Name: "verified", Value: &verified{}, WriteOnly: true})
}
