package admin

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestGoldenMetrics(t *testing.T) {
	m := NewMetrics([]string{"fee-payment", "parcel-status"})
	m.AddClass("extra")
	for range 7 {
		m.Accepted()
	}
	m.Completed("fee-payment", Success, true)
	m.Completed("fee-payment", Shed, false)
	m.Completed("parcel-status", Failure, true)
	m.Reconfigured(true)
	m.Reconfigured(false)
	m.Reconfigured(false)
	m.AttemptsSent.Add(9)
	m.Publish(Gauges{EndpointsListed: 4, EndpointsUnhealthy: 1})
	out, err := m.JSON()
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "figures.json", append(out, '\n'))
}
