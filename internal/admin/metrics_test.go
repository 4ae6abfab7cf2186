package admin

import "testing"

func TestMetrics_PublishLeavesEarlierSnapshotsAlone(t *testing.T) {
	m := NewMetrics([]string{"C"})
	earlier := m.Snapshot()
	m.Accepted()
	m.AddClass("D")
	m.Completed("C", Success, true)
	m.Accepted()
	m.Publish(Gauges{})
	if earlier.InFlight != 0 || earlier.Completed[Success][0] != 0 || len(earlier.Classes) != 1 {
		t.Errorf("a snapshot has changed: %+v", earlier)
	}
}

// A process that has handed over shows the metrics as of the hand-over until it ends; if the relay comes back to it, it counts requests
// in flight from 0.
func TestMetrics_HandedOverStaysVisibleAndCountsAnew(t *testing.T) {
	m := NewMetrics([]string{"C"})
	m.Accepted()
	m.Accepted()
	m.Publish(Gauges{EndpointsListed: 3})
	if m.HandedOver(); m.Snapshot().InFlight != 2 || m.Snapshot().EndpointsListed != 3 {
		t.Errorf("after the hand-over it shows %+v", m.Snapshot())
	}
	m.Accepted()
	if m.Publish(Gauges{}); m.Snapshot().InFlight != 1 {
		t.Errorf("with the relay back and one request accepted it shows %d in flight", m.Snapshot().InFlight)
	}
}
