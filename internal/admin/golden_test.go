package admin

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestGoldenFigures(t *testing.T) {
	b := NewBook([]string{"fee-payment", "parcel-status"})
	b.Know("extra")
	for range 7 {
		b.Taken()
	}
	b.Ended("fee-payment", Success, true)
	b.Ended("fee-payment", Busy, false)
	b.Ended("parcel-status", Failure, true)
	b.Reconfigured(true)
	b.Reconfigured(false)
	b.Reconfigured(false)
	b.Calls.Add(9)
	b.Show(Gauges{4, 1})
	out, err := b.JSON()
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "figures.json", append(out, '\n'))
}
