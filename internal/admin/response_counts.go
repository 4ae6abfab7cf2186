package admin

import (
	"maps"
	"sync"
)

const (
	// maxCountedEndpoints bounds the endpoints that ResponseCounts counts one by one.
	maxCountedEndpoints = 1000
	// otherEndpoints is the name under which the responses of all further endpoints are counted.
	otherEndpoints = "other"
)

// ResponseCounts counts responses of one sort, such as those that nobody asked for, by endpoint and reason, from the start of the
// process. It is safe for concurrent use. The zero value is ready to use.
type ResponseCounts struct {
	mu     sync.Mutex
	counts map[string]map[string]int // endpoint -> reason -> count
}

// Record counts a response of an endpoint.
func (r *ResponseCounts) Record(endpoint, reason string) {
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
	r.counts[endpoint][reason]++
}

// ByEndpoint returns the counts by endpoint and reason.
func (r *ResponseCounts) ByEndpoint() map[string]map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]map[string]int, len(r.counts))
	for endpoint, bySign := range r.counts {
		counts[endpoint] = maps.Clone(bySign)
	}
	return counts
}
