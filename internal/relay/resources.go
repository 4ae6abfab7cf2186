package relay

import (
	"encoding/json"
	"fmt"
	"runtime/metrics"
	"sync/atomic"

	front "frostlink/internal/frontend/http1"
)

// journalUse is the use of the journal's memory, published by the loop at each commit, in bytes.
type journalUse struct{ live, completed, requests atomic.Int64 }

// resources is the response body of GET /status/resources.
type resources struct {
	front.Stats
	EndpointConns endpointConns `json:"endpoint_connections"`
	Endpoints     endpointCount `json:"endpoints"`
	Requests      int64         `json:"requests"` // in memory
	// RuleConflicts counts what the settings forbid the redelivery rules of the operator's file.
	RuleConflicts int64 `json:"redelivery_rule_conflicts"`
	// Runtime is the memory of the Go runtime, in bytes.
	Runtime runtimeMemory `json:"runtime"`
}

// endpointCount counts the endpoints that are known.
type endpointCount struct {
	Listed  int64 `json:"listed"`
	Limit   int   `json:"limit"`
	Ignored int64 `json:"ignored"` // from the start of the process, since there was no memory for them
}

// endpointConns counts connections to endpoints.
type endpointConns struct {
	Open     int `json:"open"` // dialing, idle or with an attempt
	Limit    int `json:"limit"`
	Attempts int `json:"attempts"`
}

// runtimeMemory is what the Go runtime says of its memory, in bytes.
type runtimeMemory struct {
	Total      uint64 `json:"total"`
	Live       uint64 `json:"live"` // at the end of the last garbage collection
	Stacks     uint64 `json:"stacks"`
	Limit      uint64 `json:"limit"`
	GCCycles   uint64 `json:"gc_cycles"`
	Goroutines uint64 `json:"goroutines"`
}

// readRuntime reads the metrics of the Go runtime.
func readRuntime() (m runtimeMemory) {
	fields := []struct {
		name string
		into *uint64
	}{
		{"/memory/classes/total:bytes", &m.Total},
		{"/gc/heap/live:bytes", &m.Live},
		{"/memory/classes/heap/stacks:bytes", &m.Stacks},
		{"/gc/gomemlimit:bytes", &m.Limit},
		{"/gc/cycles/total:gc-cycles", &m.GCCycles},
		{"/sched/goroutines:goroutines", &m.Goroutines},
	}
	samples := make([]metrics.Sample, len(fields))
	for i, field := range fields {
		samples[i].Name = field.name
	}
	metrics.Read(samples)
	for i, field := range fields {
		if samples[i].Value.Kind() == metrics.KindUint64 {
			*field.into = samples[i].Value.Uint64()
		}
	}
	return m
}

// Resources returns the connections by state, why connections were closed, and the memory by owner, as JSON.
func (a *adminEndpoint) Resources() ([]byte, error) {
	r := resources{Runtime: readRuntime()}
	if n := a.serves.Load(); n != nil {
		l := n.loop
		r.Stats = n.frontend.Stats()
		r.EndpointConns.Open, r.EndpointConns.Attempts = l.pool.Size()
		r.EndpointConns.Limit = n.cfg.maxEndpointConns()
		r.Endpoints = endpointCount{Listed: l.endpointsListed.Load(), Limit: n.cfg.maxEndpoints(), Ignored: l.endpointsIgnored.Load()}
		r.Requests = l.journalUse.requests.Load()
		r.RuleConflicts = n.deadLetters.ruleConflicts()
		r.Memory["journal"] = front.MemoryUse{Used: int(l.journalUse.live.Load()), Limit: int(n.cfg.journalSizeMB()*bytesPerMB) / 2}
		r.Memory["completed_ids"] = front.MemoryUse{Used: int(l.journalUse.completed.Load()), Limit: n.cfg.completedMemory()}
	}
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("resources: %w", err)
	}
	return raw, nil
}

// publishJournalUse makes the use of the journal's memory known to other goroutines.
func (l *loop) publishJournalUse() {
	l.journalUse.live.Store(int64(l.journal.LiveSize()))
	l.journalUse.completed.Store(int64(l.journal.CompletedMemory()))
	l.journalUse.requests.Store(int64(len(l.requests)))
	l.endpointsListed.Store(int64(len(l.endpoints)))
}
