// Package logkey defines the keys of log attributes. All programs use the same key for the same thing, so that logs can be
// filtered by request, destination or endpoint regardless of which package wrote the line. What operators should do about
// each message is described in docs/operators/log-messages.md.
package logkey

// The keys. Durations are logged as time.Duration, points in time as dates.
const (
	Address       = "address"        // a network address that is dialled or listened on
	Attempt       = "attempt"        // the number of a request's attempt, counted from 1
	Attempts      = "attempts"       // how many attempts were made
	AttemptsEnded = "attempts_ended" // whether no attempt of the request may follow
	Bytes         = "bytes"          // a size in bytes
	Class         = "class"          // the name of a request's class
	Classes       = "classes"        // the names of several classes
	Connections   = "connections"    // a number of connections
	Count         = "count"          // a number of the things that the message names
	Destination   = "destination"    // a destination's number
	Discovery     = "discovery"      // the address of the service that lists endpoints
	Endpoint      = "endpoint"       // an endpoint's id
	Err           = "err"            // an error
	File          = "file"           // the path of a configuration file
	From          = "from"           // the state before a change
	Key           = "key"            // the path of a key in a configuration file
	Kind          = "kind"           // the kind of the thing that the message names
	Late          = "late"           // the time by which something was late
	Outcome       = "outcome"        // the terminal outcome of a request, or the outcome of an attempt
	Reason        = "reason"         // the reason for the event that the message reports
	Record        = "record"         // a kind of stored record
	RequestID     = "request_id"     // a request's id
	RequestIDs    = "request_ids"    // the ids of several requests
	Requests      = "requests"       // a number of requests
	Rule          = "rule"           // a rule's number in the operator's file, counted from 1
	Status        = "status"         // an HTTP status code
	TimeLeft      = "time_left"      // the time until a request's deadline
	To            = "to"             // the state after a change
	Waited        = "waited"         // the time between two steps that the message names
)
