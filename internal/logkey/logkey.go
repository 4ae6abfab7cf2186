// Package logkey has the keys of log attributes: one word for one thing in all programs, so that a log can be filtered by
// request, destination or endpoint whoever wrote the line. What operators should do about a message is in
// docs/operators/log-messages.md.
package logkey

// The keys. Durations are logged as time.Duration, instants as dates.
const (
	Address     = "address"     // an address that is dialled or listened on
	Attempt     = "attempt"     // the number of an attempt of a request, from 1
	Attempts    = "attempts"    // how many were made
	Bytes       = "bytes"       // a size
	Class       = "class"       // a request's class, by the settings
	Classes     = "classes"     // several
	Connections = "connections" // how many
	Count       = "count"       // how many of what the message names
	Destination = "destination" // a destination's number
	Discovery   = "discovery"   // the address of the service that lists endpoints
	Endpoint    = "endpoint"    // an endpoint's id
	Err         = "err"         // an error
	From        = "from"        // a state that was left
	Kind        = "kind"        // of what the message names
	Late        = "late"        // by how long something came too late
	Outcome     = "outcome"     // a request's terminal outcome, or an attempt's
	Reason      = "reason"      // why
	Record      = "record"      // a kind of stored record
	RequestID   = "request_id"  // a request's id
	RequestIDs  = "request_ids" // several
	Requests    = "requests"    // how many
	Rule        = "rule"        // a rule's number in the operator's file, from 1
	Status      = "status"      // an HTTP status
	TimeLeft    = "time_left"   // until a request's deadline
	To          = "to"          // a state that was entered
)
