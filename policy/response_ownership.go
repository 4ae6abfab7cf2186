package policy

import "time"

const (
	// extraResponseWindow is the time after a response within which an endpoint may write another one that nobody asked for, such as a
	// copy of it. Copies have been seen to come up to 250 ms late; relay and endpoint may be held up as well.
	extraResponseWindow = 300 * time.Millisecond
	// maxEarlyLatency bounds the latency of a response that the endpoint may have written before it had the request: the time that
	// the network takes to the endpoint and back.
	maxEarlyLatency = 50 * time.Millisecond
	// firstResponseRoundTrips is the most round trips that the first response on a connection takes, with a handshake.
	firstResponseRoundTrips = 4
	// minEarlyLatency is the least way to an endpoint and back that can be told from the time that busy processes take. On a shorter
	// way no response is early.
	minEarlyLatency = 5 * time.Millisecond
	// latencyJitter is the difference of latencies that says nothing: processes on one machine respond within it.
	latencyJitter = time.Millisecond
	// confirmationLatencies is how long another response is awaited after one that may belong to an earlier request, in mean latencies
	// of deliveries, within minConfirmationTime and maxConfirmationTime. If the response belongs to an earlier request, the endpoint
	// has the request in hand, and most likely responds to it in this time.
	confirmationLatencies = 4
	minConfirmationTime   = time.Second
	maxConfirmationTime   = 2 * time.Second
	// minDistrustTime is how long connections to an endpoint carry one request each after it has written a response that nobody
	// asked for later than extraResponseWindow. Each further one doubles the time, up to maxDistrustTime.
	minDistrustTime = 10 * time.Second
	maxDistrustTime = 10 * time.Minute
)

// Ownership is what is known about the request that a response on a connection belongs to. HTTP/1.1 responses don't name it.
type Ownership int

const (
	// OwnResponse belongs to the request in flight.
	OwnResponse Ownership = iota
	// LikelyOwnResponse counts as the response to the request in flight unless another response follows within ConfirmationTime.
	LikelyOwnResponse
	// UnconfirmedResponse may belong to an earlier request. It counts as the response to the request in flight only if it is certain
	// that no other response follows within ConfirmationTime.
	UnconfirmedResponse
	// DoubtfulResponse may belong to an earlier request, and is not worth waiting for a confirmation: the request in flight counts as
	// one that may have executed (Response.InDoubt).
	DoubtfulResponse
)

// Exchange is a request on a connection that has carried others before, and its response.
type Exchange struct {
	Response Response
	// Latency is the time from the last byte of the request to the response.
	Latency time.Duration
	// Retryable reports that the request may be sent again after it has executed.
	Retryable bool
	// Distrusted reports that the endpoint wrote a response that nobody asked for while the request was in flight.
	Distrusted bool
}

// Responder is what is known about an endpoint as the writer of responses. From it the relay decides when a connection may be used
// again, and whether a response belongs to the request in flight. The zero value knows nothing.
type Responder struct {
	// minLatency is the lowest latency of responses on connections that were used before, and minFirstLatency that of the first
	// responses on connections; 0: none is known.
	minLatency, minFirstLatency time.Duration
	meanDeliveryLatency         time.Duration // of deliveries on all connections; 0: none is known

	extraResponses, lateResponses int
	distrustedUntil               time.Time
}

// Accepted records a response that belongs to its request. reused reports that the connection had carried another one before.
func (r *Responder) Accepted(outcome Outcome, latency time.Duration, reused bool) {
	latency = max(latency, 1)
	if outcome == Succeeded {
		r.recordDelivery(latency)
	}
	lowest := &r.minFirstLatency
	if reused {
		lowest = &r.minLatency
	}
	if *lowest == 0 || latency < *lowest {
		*lowest = latency
	}
}

// recordDelivery updates the mean latency of deliveries.
func (r *Responder) recordDelivery(latency time.Duration) {
	if r.meanDeliveryLatency == 0 {
		r.meanDeliveryLatency = latency
		return
	}
	r.meanDeliveryLatency += time.Duration(latencyGain * float64(latency-r.meanDeliveryLatency))
}

// ExtraResponse records a response that nobody asked for, and returns how many there were. One that came later than
// extraResponseWindow after the last response makes the endpoint distrusted, since it could come while the next request is in flight.
func (r *Responder) ExtraResponse(now time.Time, late bool) (total int) {
	r.extraResponses++
	if !late {
		return r.extraResponses
	}
	distrust := minDistrustTime
	for range r.lateResponses {
		distrust = min(2*distrust, maxDistrustTime)
	}
	r.lateResponses++
	r.distrustedUntil = now.Add(distrust)
	return r.extraResponses
}

// Distrusted reports whether connections to the endpoint carry one request each.
func (r *Responder) Distrusted(now time.Time) bool { return now.Before(r.distrustedUntil) }

// RestTime returns how long a connection to the endpoint must still rest until it may carry a request. idle is the time since the end
// of its last response, of which a copy comes within extraResponseWindow. reusable is false if the connection may carry no other
// request.
func (r *Responder) RestTime(now time.Time, idle time.Duration) (rest time.Duration, reusable bool) {
	return max(0, extraResponseWindow-idle), !r.Distrusted(now)
}

// Owner decides whether a response belongs to the request of an exchange.
func (r *Responder) Owner(x Exchange) Ownership {
	switch {
	case !x.Distrusted && x.Latency >= r.EarlyTime():
		return OwnResponse
	case x.Response.Outcome == Succeeded:
		return LikelyOwnResponse // an endpoint with a short way to it delivers that soon at times
	case x.Response.EndsAttempts():
		return DoubtfulResponse // no confirmation could allow another attempt, and a process that ends meanwhile must not forget the response
	case x.Retryable && x.Distrusted:
		return DoubtfulResponse
	}
	return UnconfirmedResponse
}

// EarlyTime returns the time after the last byte of a request within which a response comes so soon that the endpoint may have written
// it before it had the request: sooner than any that is known to belong to its request.
func (r *Responder) EarlyTime() time.Duration {
	possible := r.minLatency
	if possible == 0 {
		possible = r.minFirstLatency / firstResponseRoundTrips
	}
	if possible < minEarlyLatency {
		return 0
	}
	return min(possible-latencyJitter, maxEarlyLatency)
}

// ConfirmationTime returns how long another response is awaited after an unconfirmed one.
func (r *Responder) ConfirmationTime() time.Duration {
	usual := time.Duration(confirmationLatencies * float64(r.meanDeliveryLatency))
	return min(max(usual, minConfirmationTime), maxConfirmationTime)
}
