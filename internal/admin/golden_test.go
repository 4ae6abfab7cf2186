package admin

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestGoldenFigures(t *testing.T) {
	b := NewMetrics([]string{"fee-payment", "parcel-status"})
	b.AddClass("extra")
	for range 7 {
		b.Accepted()
	}
	b.Completed("fee-payment", Success, true)
	b.Completed("fee-payment", Shed, false)
	b.Completed("parcel-status", Failure, true)
	b.Reconfigured(true)
	b.Reconfigured(false)
	b.Reconfigured(false)
	b.AttemptsSent.Add(9)
	b.Publish(Gauges{4, 1})
	out, err := b.JSON()
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "figures.json", append(out, '\n'))
}
