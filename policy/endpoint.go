package policy

import (
	"time"
)

const (
	unknownZone = -1
)

// endpoint is one listed endpoint and what is known of its health.
type endpoint struct {
	Endpoint
	queue               *queue
	inFlight            []*call
	consecutiveFailures float64   // in a row
	classFailures       []float64 // failures in a row by class
	sick                bool
	unhealthySince      time.Duration
	recoveredAt         time.Duration // first success after an outage; 0 for never
	ramping             bool
	tokenBucket         // of the budget while sick or ramping
	lastSuccess         time.Duration
	lastUsed            time.Duration
	latestSuccessSent   time.Duration // the start of the latest call that succeeded
	lastLatency         float64       // the latency of the last success
	connLimit           float64       // learned; 0 for none
	tieBreaker          float64       // which of those never used comes first
}
