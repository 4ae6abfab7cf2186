package fleet

import "frostlink/internal/trace"

// The outcomes of attempts that are treated separately, by their names in the trace.
const (
	outcomeRejected      = "turned away"
	outcomeConnectFailed = "no connection"
	outcomeNotSent       = "not sent"
)

// Counts counts the events of a second, of a destination or of the whole fleet.
type Counts struct {
	FirstAttempts int `json:"first"`
	Retries       int `json:"again"`
	Delivered     int `json:"delivered"` // delivered attempts
	OverLimit     int `json:"limit"`     // attempts rejected on an open connection or with a load report, because of the rate limit or a full queue
	// ConnectionsRejected counts attempts that were rejected on a new connection without a load report. An endpoint that is
	// closed, or has all the connections that it accepts, rejects in this way.
	ConnectionsRejected int `json:"door"`
	ConnectFailures     int `json:"unmade"`  // attempts for which no connection could be established
	OtherFailures       int `json:"other"`   // attempts that ended in another way: errors, resets, time-outs
	NewConnections      int `json:"fresh"`   // attempts for which a connection was opened or could not be opened
	Accepted            int `json:"taken"`   // accepted messages
	Rejected            int `json:"refused"` // messages rejected on arrival
	DeliveredLate       int `json:"late"`    // messages delivered after their latency objective
	Deferred            int `json:"back"`    // messages deferred after acceptance
	Undeliverable       int `json:"failed"`  // undeliverable messages
}

// countedKinds are the kinds of events that Counts.add counts. Each of them has a destination.
var countedKinds = map[trace.Kind]bool{
	trace.Accepted:       true,
	trace.Rejected:       true,
	trace.Completed:      true,
	trace.AttemptStarted: true,
	trace.AttemptEnded:   true,
}

func (c *Counts) add(e *trace.Event) {
	switch e.Kind {
	case trace.Accepted:
		c.Accepted++
	case trace.Rejected:
		c.Rejected++
	case trace.AttemptStarted:
		c.addAttempt(e)
	case trace.AttemptEnded:
		c.addAttemptOutcome(e)
	case trace.Completed:
		c.addOutcome(e)
	default: // has no destination, or is not counted
	}
}

func (c *Counts) addAttempt(e *trace.Event) {
	if e.Count == 1 {
		c.FirstAttempts++
	} else {
		c.Retries++
	}
}

func (c *Counts) addAttemptOutcome(e *trace.Event) {
	if e.NewConn {
		c.NewConnections++
	}
	switch {
	case e.Outcome == trace.Delivered:
		c.Delivered++
	case e.Outcome == outcomeRejected && (!e.NewConn || e.RateLimit > 0):
		c.OverLimit++
	case e.Outcome == outcomeRejected:
		c.ConnectionsRejected++
	case e.Outcome == outcomeConnectFailed:
		c.ConnectFailures++
	default:
		c.OtherFailures++
	}
}

func (c *Counts) addOutcome(e *trace.Event) {
	switch {
	case e.Outcome == trace.Deferred:
		c.Deferred++
	case e.Outcome == trace.Undeliverable:
		c.Undeliverable++
	case e.Late:
		c.DeliveredLate++
	}
}
