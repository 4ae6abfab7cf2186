package admin

import (
	"encoding/json"
	"fmt"
)

// Outcome is a group of terminal outcomes in the metrics.
type Outcome int

// The outcomes. Each completed request is counted under exactly one of them.
const (
	Success      Outcome = iota // delivered
	Shed                        // rejected at arrival, or shed later without having been executed: the client may submit it again
	Failure                     // failed
	outcomeCount                // number of outcomes
)

// Snapshot is a copy of the metrics at one time. All counts start at 0 with the process.
type Snapshot struct {
	Classes            []string              // the index of a class is also its index in the slices of Completed
	Completed          [outcomeCount][]int64 // by outcome and class
	InFlight           int                   // requests accepted and not completed
	EndpointsListed    int                   // endpoints in the endpoint list
	EndpointsUnhealthy int                   // listed endpoints that the relay avoids
	ReconfigOK         int                   // configurations applied
	ReconfigFailed     int                   // configurations rejected
}

// snapshotJSON is the response body of GET /status/metrics. The platform defines its keys.
type snapshotJSON struct {
	Success        map[string]int64 `json:"success"`
	Busy           map[string]int64 `json:"busy"`
	Failure        map[string]int64 `json:"failure"`
	BackendCalls   int64            `json:"backend_calls"`
	Inflight       int              `json:"inflight"`
	HostsListed    int              `json:"hosts_listed"`
	HostsDown      int              `json:"hosts_down"`
	ReconfigOK     int              `json:"reconfig_ok"`
	ReconfigFailed int              `json:"reconfig_failed"`
}

// json encodes the snapshot. attemptsSent is the number of attempts that were written completely to endpoints.
func (s *Snapshot) json(attemptsSent int64) ([]byte, error) {
	raw, err := json.Marshal(snapshotJSON{
		Success:        s.byClass(Success),
		Busy:           s.byClass(Shed),
		Failure:        s.byClass(Failure),
		BackendCalls:   attemptsSent,
		Inflight:       s.InFlight,
		HostsListed:    s.EndpointsListed,
		HostsDown:      s.EndpointsUnhealthy,
		ReconfigOK:     s.ReconfigOK,
		ReconfigFailed: s.ReconfigFailed,
	})
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	return raw, nil
}

// byClass returns the counts of an outcome by class name.
func (s *Snapshot) byClass(outcome Outcome) map[string]int64 {
	counts := make(map[string]int64, len(s.Classes))
	for i, name := range s.Classes {
		counts[name] = s.Completed[outcome][i]
	}
	return counts
}
