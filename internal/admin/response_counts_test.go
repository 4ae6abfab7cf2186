package admin

import (
	"strconv"
	"testing"
)

// The number of endpoints that are counted one by one is bounded; no response of a further one is lost.
func TestResponseCounts_AreBounded(t *testing.T) {
	var r ResponseCounts
	for i := range maxCountedEndpoints + 5 {
		r.Record("h"+strconv.Itoa(i), "after a response")
	}
	r.Record("h0", "after a response")
	r.Record("h0", "on an idle connection")
	counts := r.ByEndpoint()
	if len(counts) != maxCountedEndpoints+1 || counts[otherEndpoints]["after a response"] != 5 {
		t.Errorf("%d endpoints counted, %v under the others", len(counts), counts[otherEndpoints])
	}
	if h := counts["h0"]; h["after a response"] != 2 || h["on an idle connection"] != 1 {
		t.Errorf("counts of h0: %v", h)
	}
}
