package fleet

import "frostlink/internal/trace"

// The outcomes of attempts that are counted apart, as the trace names them.
const (
	outcomeRejected      = "turned away"
	outcomeConnectFailed = "no connection"
	outcomeNotSent       = "not sent"
)

// Counts are what happened in a time or at a destination.
type Counts struct {
	FirstAttempts int `json:"first"`
	Retries       int `json:"again"`
	Delivered     int `json:"delivered"` // attempts
	OverLimit     int `json:"limit"`     // attempts rejected with a load report: the rate limit, or a full queue
	// ConnectionsRejected are attempts rejected on a new connection and without a load report, as by endpoints that are
	// closed or have all the connections that they accept.
	ConnectionsRejected int `json:"door"`
	ConnectFailures     int `json:"unmade"`  // attempts for which no connection could be established
	OtherFailures       int `json:"other"`   // attempts that ended otherwise: errors, resets, time-outs
	NewConnections      int `json:"fresh"`   // opened, or tried to be
	Accepted            int `json:"taken"`   // messages
	Rejected            int `json:"refused"` // messages, on arrival
	DeliveredLate       int `json:"late"`    // messages delivered after their latency objective
	Deferred            int `json:"back"`    // messages accepted, and deferred later
	Undeliverable       int `json:"failed"`  // messages
}

// countedKinds are the kinds of events that Counts.add counts. Each concerns a destination.
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
	default: // concerns no destination
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
