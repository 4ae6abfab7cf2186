package admin

import (
	"maps"
	"sync"
)

const (
	// maxCountedEndpoints bounds the endpoints that ExtraResponses counts one by one.
	maxCountedEndpoints = 1000
	// otherEndpoints is the name under which the responses of all further endpoints are counted.
	otherEndpoints = "other"
)

// ExtraResponses counts the responses that endpoints wrote although nobody asked for them, from the start of the process. It is safe
// for concurrent use. The zero value is ready to use.
type ExtraResponses struct {
	mu     sync.Mutex
	counts map[string]map[string]int // endpoint -> how a response was noticed -> count
}

// Record counts a response of an endpoint, by how it was noticed.
func (r *ExtraResponses) Record(endpoint, sign string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]map[string]int{}
	}
	if r.counts[endpoint] == nil && len(r.counts) >= maxCountedEndpoints {
		endpoint = otherEndpoints
	}
	if r.counts[endpoint] == nil {
		r.counts[endpoint] = map[string]int{}
	}
	r.counts[endpoint][sign]++
}

// ByEndpoint returns the counts by endpoint and by how the responses were noticed.
func (r *ExtraResponses) ByEndpoint() map[string]map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]map[string]int, len(r.counts))
	for endpoint, bySign := range r.counts {
		counts[endpoint] = maps.Clone(bySign)
	}
	return counts
}
