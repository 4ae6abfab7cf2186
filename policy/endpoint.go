package policy

import (
	"time"
)

const (
	nowhere = -1
)

// endpoint is one listed endpoint and what is known of its health.
type endpoint struct {
	Endpoint
	q         *queue
	out       []*call
	failures  float64   // in a row
	strikes   []float64 // failures in a row by class
	sick      bool
	sickAt    time.Duration
	recovered time.Duration // first success after an outage; 0 for never
	ramping   bool
	bucket    // of the budget while sick or ramping
	lastOK    time.Duration
	lastUsed  time.Duration
	lastBegun time.Duration // the start of the latest call that succeeded
	lastTook  float64       // the latency of the last success
	connCap   float64       // learned; 0 for none
	lot       float64       // which of those never used comes first
}
