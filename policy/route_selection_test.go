package policy

import (
	"testing"
)

func TestSelectRoute_LeastCost(t *testing.T) {
	s := testSettings()
	s.ZoneCost = []float64{0.06, 0}
	d := newDispatcher(t, s, Endpoint{ID: "a", Kind: 2}, Endpoint{ID: "b", Kind: 2, Zone: 1})
	wantActions(t, "the cheaper of two idle routes", d.Handle(0, []Event{arrival("m", 0)}), "m>b")
	d.queues[1].latency.mean, d.queues[1].latency.byClass[0] = 5, 5
	wantActions(t, "the faster of two routes at a higher zone cost", d.Handle(0, []Event{arrival("n", 0)}), "n>a")
}
