package policy

import "time"

// unknownZone is the zone of an endpoint whose zone is not known.
const unknownZone = -1

// health is the health state of an endpoint. The transitions:
//
//	from                                  to                         in
//	healthy, slowStart                    unhealthy                  markUnhealthy
//	unhealthy, unhealthyRecoveryRecorded  slowStart                  startSlowStart
//	slowStart                             healthy                    endSlowStart
//	healthy, slowStart                    slowStart                  recoverHealth
//	unhealthy                             unhealthyRecoveryRecorded  recoverHealth
//	unhealthyRecoveryRecorded             unhealthy                  endSlowStart
//
// The last transition occurs only if SlowStartTime is 0. A restored snapshot may set any state.
type health int

const (
	// healthy endpoints get as many calls as their destination's limits allow.
	healthy health = iota
	// slowStart endpoints have recovered from an outage and get calls at the recovery rate only,
	// which does not overload a destination that restarts cold.
	slowStart
	// unhealthy endpoints get trial requests only.
	unhealthy
	// unhealthyRecoveryRecorded endpoints are treated as unhealthy, although an earlier process
	// recorded their recovery less than SlowStartTime ago. A snapshot stores both facts.
	unhealthyRecoveryRecorded
)

// isUnhealthy reports whether an endpoint gets trial requests only.
func (h health) isUnhealthy() bool { return h == unhealthy || h == unhealthyRecoveryRecorded }

// hasRecovery reports whether a recovery is recorded whose slow start has not ended.
func (h health) hasRecovery() bool { return h == slowStart || h == unhealthyRecoveryRecorded }

// recoveryRecorded returns the state that follows h when the recovery that an earlier process
// recorded is applied.
func (h health) recoveryRecorded() health {
	if h.isUnhealthy() {
		return unhealthyRecoveryRecorded
	}
	return slowStart
}

// recoveryEnded returns the state that follows h when the slow start ends.
func (h health) recoveryEnded() health {
	if h.isUnhealthy() {
		return unhealthy
	}
	return healthy
}

// endpoint is an endpoint with its health and call statistics. Endpoints that were removed from the
// list are kept while attempts refer to them.
type endpoint struct {
	Endpoint
	queue    *queue
	inFlight []*call

	health              health
	unhealthySince      time.Duration // start of the last outage
	recoveredAt         time.Duration // first success after the last outage; 0 if there was none
	recoveryBucket      tokenBucket   // limits calls while unhealthy or in slow start
	consecutiveFailures float64
	classFailures       []float64 // weighted consecutive failures by class

	lastUsed          time.Duration // start of the last call
	lastSuccess       time.Duration // end of the last successful call; 0 if there was none
	latestSuccessSent time.Duration // latest start time of a successful call
	lastLatency       float64       // latency of the last successful call, in seconds
	connLimit         float64       // estimated connection limit of the endpoint; 0 if none is known
	tieBreaker        float64       // random order among endpoints that were never used
}
