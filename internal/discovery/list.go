package discovery

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"

	"frostlink/internal/settings"
	"frostlink/policy"
)

// EndpointList is the endpoint list, or a change of it, as discovery sends it.
type EndpointList struct {
	Seq       int64      `json:"seq"`
	Full      bool       `json:"whole"` // true: the whole list; false: only the endpoints that changed
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is one endpoint of the list.
type Endpoint struct {
	ID          string  `json:"host"`
	Address     string  `json:"dial"`
	Zone        string  `json:"site"`
	Kind        string  `json:"class"`  // the kind of its machine
	Destination int     `json:"block"`  // the number of its destination
	Health      string  `json:"health"` // Draining or Deleted; with any other value the endpoint takes requests
	Weight      float64 `json:"share"`
	// StartedAtMS is when the endpoint last started, in milliseconds of Unix time; 0: long ago, or not known. It tells a process from
	// the one that had the id and the address before. It is read from lists of discovery, and is not stored.
	StartedAtMS int64 `json:"-"`
}

// UnmarshalJSON decodes an endpoint of a list.
func (e *Endpoint) UnmarshalJSON(raw []byte) error {
	type fields Endpoint // without this method
	listed := struct {
		*fields
		StartedAtMS *int64 `json:"born_ms"`
	}{(*fields)(e), &e.StartedAtMS}
	return json.Unmarshal(raw, &listed) //nolint:wrapcheck // callers distinguish the errors of package json
}

// boundedEndpoints decodes the endpoints of a list one by one, and no more of them than limit: an entry takes many times the memory of
// its text.
type boundedEndpoints struct {
	limit     int // 0: none
	endpoints []Endpoint
}

// UnmarshalJSON decodes an array of endpoints.
func (b *boundedEndpoints) UnmarshalJSON(raw []byte) error {
	in := json.NewDecoder(bytes.NewReader(raw))
	begin, err := in.Token()
	if err != nil || begin == nil { // null
		return err //nolint:wrapcheck // callers distinguish the errors of package json
	}
	if begin != json.Delim('[') {
		return &json.UnmarshalTypeError{Value: "value", Type: reflect.TypeFor[[]Endpoint]()}
	}
	for in.More() {
		if b.limit > 0 && len(b.endpoints) == b.limit {
			return ErrTooManyEndpoints
		}
		var endpoint Endpoint
		if err := in.Decode(&endpoint); err != nil {
			return err //nolint:wrapcheck // callers distinguish the errors of package json
		}
		b.endpoints = append(b.endpoints, endpoint)
	}
	return nil
}

// IsReplacedBy reports whether the entry that follows in a list names another process than this one: at another address, or started
// later.
func (e *Endpoint) IsReplacedBy(next *Endpoint) bool {
	return e.Address != next.Address || e.StartedAtMS != next.StartedAtMS
}

// The values of Health for an endpoint that takes no new requests.
const (
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Event converts the list to an event for the policy.
func (l EndpointList) Event(s *settings.Settings) policy.EndpointsChanged {
	e := policy.EndpointsChanged{Full: l.Full}
	for _, endpoint := range l.Endpoints {
		e.Endpoints = append(e.Endpoints, policy.Endpoint{
			ID: endpoint.ID, Destination: endpoint.Destination,
			Kind: slices.Index(s.DestinationKinds, endpoint.Kind), Zone: slices.Index(s.Zones, endpoint.Zone),
			Weight:   endpoint.Weight,
			Draining: endpoint.Health == Draining, Removed: endpoint.Health == Deleted,
		})
	}
	return e
}

// Apply returns the whole list after a change. If the receiver is nil, the change is the first list.
func (l *EndpointList) Apply(change EndpointList) *EndpointList {
	if change.Full || l == nil {
		change.Endpoints = slices.Clone(change.Endpoints)
	} else {
		change.Endpoints = append(l.without(change.Endpoints), change.Endpoints...)
	}
	change.Full = true
	change.Endpoints = slices.DeleteFunc(change.Endpoints, func(e Endpoint) bool { return e.Health == Deleted })
	return &change
}

// without returns the endpoints of the list whose ids are not among those changed.
func (l *EndpointList) without(changed []Endpoint) []Endpoint {
	ids := map[string]bool{}
	for _, e := range changed {
		ids[e.ID] = true
	}
	return slices.DeleteFunc(slices.Clone(l.Endpoints), func(e Endpoint) bool { return ids[e.ID] })
}
