package discovery

import (
	"slices"
	"testing"
)

// A change replaces the endpoints that it contains and removes deleted ones. A whole list replaces
// all endpoints.
func TestEndpointList_Apply(t *testing.T) {
	list := &EndpointList{Seq: 1, Full: true, Endpoints: []Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	for _, tt := range []struct {
		name   string
		list   *EndpointList
		change EndpointList
		want   []Endpoint
	}{
		{"first list", nil, EndpointList{Endpoints: []Endpoint{{ID: "a"}, {ID: "b", Health: Deleted}}}, []Endpoint{{ID: "a"}}},
		{"whole list", list, EndpointList{Full: true, Endpoints: []Endpoint{{ID: "d"}}}, []Endpoint{{ID: "d"}}},
		{
			"change", list,
			EndpointList{Endpoints: []Endpoint{{ID: "b", Health: Draining}, {ID: "a", Health: Deleted}, {ID: "d"}}},
			[]Endpoint{{ID: "c"}, {ID: "b", Health: Draining}, {ID: "d"}},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tt.change.Seq = 2
			got := tt.list.Apply(tt.change)
			if got.Seq != 2 || !got.Full || !slices.Equal(got.Endpoints, tt.want) {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
	if len(list.Endpoints) != 3 || list.Endpoints[1].Health != "" {
		t.Errorf("the list itself was changed: %+v", list)
	}
}
