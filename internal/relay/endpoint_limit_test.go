package relay

import (
	"fmt"
	"testing"

	"frostlink/internal/discovery"
)

// A relay that knows as many endpoints, or destinations, as it has memory for ignores new ones and follows changes of those that it
// knows. A whole list replaces them.
func TestEndpoints_BoundedByMemory(t *testing.T) {
	const limit = endpointsPerMB
	numbered := func(first, count, destination int) (list []discovery.Endpoint) {
		for i := range count {
			list = append(list, discovery.Endpoint{ID: fmt.Sprint("e", first+i), Destination: destination})
		}
		return list
	}
	deleted := numbered(0, 1, 1)
	deleted[0].Health = discovery.Deleted
	for name, tt := range map[string]struct {
		list          discovery.EndpointList
		kept, ignored int
	}{
		"changes of known ones":                {discovery.EndpointList{Endpoints: numbered(0, limit, 1)}, limit, 0},
		"new ones":                             {discovery.EndpointList{Endpoints: numbered(limit, 10, 1)}, 0, 10},
		"a removal":                            {discovery.EndpointList{Endpoints: deleted}, 1, 0},
		"a whole list of new ones":             {discovery.EndpointList{Full: true, Endpoints: numbered(limit, limit, 1)}, limit, 0},
		"a whole list that is too long":        {discovery.EndpointList{Full: true, Endpoints: numbered(0, limit+5, 1)}, limit, 5},
		"known ones of a new destination":      {discovery.EndpointList{Endpoints: numbered(0, 3, 2)}, 3, 0},
		"one more destination than there were": {discovery.EndpointList{Endpoints: append(numbered(0, 1, limit), numbered(1, 1, limit+1)...)}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := &loop{cfg: &Config{Limits: Limits{MemoryMB: 1}}, endpoints: map[string]discovery.Endpoint{}, destinations: map[int]bool{}}
			for _, e := range numbered(0, limit, 1) {
				l.endpoints[e.ID] = e
			}
			destinations := 1
			if name == "one more destination than there were" {
				destinations = limit - 1
			}
			for n := range destinations {
				l.destinations[1+n] = true
			}
			got := l.boundEndpoints(tt.list)
			if len(got.Endpoints) != tt.kept || l.endpointsIgnored.Load() != int64(tt.ignored) {
				t.Errorf("kept %d, ignored %d; want %d, %d", len(got.Endpoints), l.endpointsIgnored.Load(), tt.kept, tt.ignored)
			}
		})
	}
}
