package policy

import "time"

// unknownZone is the zone of an endpoint whose zone is not known.
const unknownZone = -1

// health is the state of an endpoint. The transitions:
//
//	from                                  to                         by
//	healthy, slowStart                    unhealthy                  markUnhealthy
//	unhealthy, unhealthyRecoveryRecorded  slowStart                  startSlowStart
//	slowStart                             healthy                    endSlowStart
//	healthy, slowStart                    slowStart                  recoverHealth
//	unhealthy                             unhealthyRecoveryRecorded  recoverHealth
//	unhealthyRecoveryRecorded             unhealthy                  endSlowStart
//
// The last one happens only where SlowStartTime is 0. A restored snapshot sets the state.
type health int

const (
	// healthy endpoints get calls as their destination's limits allow.
	healthy health = iota
	// slowStart endpoints are back from an outage, and get no more calls than a cold destination
	// bears.
	slowStart
	// unhealthy endpoints get trial requests only.
	unhealthy
	// unhealthyRecoveryRecorded endpoints are unhealthy in every respect. An earlier process
	// recorded their recovery, not long ago; a snapshot carries both.
	unhealthyRecoveryRecorded
)

// isUnhealthy reports whether an endpoint gets trial requests only.
func (h health) isUnhealthy() bool { return h == unhealthy || h == unhealthyRecoveryRecorded }

// hasRecovery reports whether a recovery is on record whose slow start has not ended.
func (h health) hasRecovery() bool { return h == slowStart || h == unhealthyRecoveryRecorded }

// recoveryRecorded returns the health of an endpoint in state h which an earlier process saw
// recover.
func (h health) recoveryRecorded() health {
	if h.isUnhealthy() {
		return unhealthyRecoveryRecorded
	}
	return slowStart
}

// recoveryEnded returns the health of an endpoint in state h once no slow start is on record any
// more.
func (h health) recoveryEnded() health {
	if h.isUnhealthy() {
		return unhealthy
	}
	return healthy
}

// endpoint is one listed endpoint and what is known of its health.
type endpoint struct {
	Endpoint
	queue    *queue
	inFlight []*call

	health              health
	unhealthySince      time.Duration // start of the latest outage
	recoveredAt         time.Duration // first success after it; 0 for never
	recoveryBucket      tokenBucket   // of the calls allowed while unhealthy or in slow start
	consecutiveFailures float64
	classFailures       []float64 // consecutive failures by class

	lastUsed          time.Duration // start of the latest call
	lastSuccess       time.Duration // end of the latest call that succeeded; 0 for never
	latestSuccessSent time.Duration // latest start among the calls that succeeded
	lastLatency       float64       // of the last success, in seconds
	connLimit         float64       // learned limit of connections; 0 for none
	tieBreaker        float64       // random: the order among endpoints that were never used
}
