package api

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestWireForms_AreUnchanged(t *testing.T) {
	goldentest.JSON(t, "forms.txt",
		goldentest.Form{Name: "request", Value: &Request{}}, goldentest.Form{Name: "answer", Value: &Response{}},
		goldentest.Form{Name: "status", Value: &Status{}})
	goldentest.Bytes(t, "paths.txt", []byte(PathCommand+"\n"+PathRead+"\n"+PathWait+"\n"+PathMembers+"\n"+PathStatus+"\n"+PathSnapshot+"\n"+PathRaft+"\n"))
}
