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
		t.Errorf("a published snapshot has changed: %+v", earlier)
	}
}

// A process that has handed over shows the metrics from the time of the hand-over until it ends. If it becomes the owner of the relay
// again, it counts the requests in flight from 0.
func TestMetrics_HandedOverStaysVisibleAndCountsAnew(t *testing.T) {
	m := NewMetrics([]string{"C"})
	m.Accepted()
	m.Accepted()
	m.Publish(Gauges{EndpointsListed: 3})
	if m.HandedOver(); m.Snapshot().InFlight != 2 || m.Snapshot().EndpointsListed != 3 {
		t.Errorf("snapshot after the hand-over: %+v", m.Snapshot())
	}
	m.Accepted()
	if m.Publish(Gauges{}); m.Snapshot().InFlight != 1 {
		t.Errorf("%d requests in flight after the relay was taken back and accepted one request, want 1", m.Snapshot().InFlight)
	}
}

// A refuted outcome is taken back: the request is in flight again, unless it was never counted as in flight.
func TestMetrics_ReopenedUndoesCompleted(t *testing.T) {
	m := NewMetrics([]string{"C"})
	m.Accepted()
	m.Completed("C", Success, true)
	m.Reopened("C", Success, true)
	m.Completed("C", Success, false)
	m.Reopened("C", Success, false)
	if m.Publish(Gauges{}); m.Snapshot().InFlight != 1 || m.Snapshot().Completed[Success][0] != 0 {
		t.Errorf("snapshot with one request that was reopened: %+v", m.Snapshot())
	}
}
