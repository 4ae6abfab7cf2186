package checker

import (
	"cmp"
	"slices"
	"time"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events. Each comment lists the fields that the event has besides At.
const (
	Submitted        Kind = "handed-in"     // ID Message Relay Destination Class OrderKey Subject Duration: a client has sent a request with the time left in Duration
	Answered         Kind = "answered"      // ID Relay Status Duration: the client got the relay's response, with a Retry-After in Duration
	AnswerMissed     Kind = "unheard"       // ID Relay State OK: the client got no response: it stopped waiting, or, with OK, the connection was closed first
	ClosedOnRequest  Kind = "closed-on"     // ID Relay Duration: the relay closed a connection by a regular close (no reset) without a response, Duration after a request was written on it
	AttemptSent      Kind = "called"        // ID Relay Destination Endpoint Attempt FirstByte: the last byte of an attempt has arrived, its first byte at FirstByte
	Probed           Kind = "probed"        // Relay Destination Endpoint Attempt: the last byte of a health check has arrived
	AttemptEnded     Kind = "ended"         // Attempt Outcome Duration Executed Status: the response to an attempt is about to be written, or the attempt ended without one
	ResponseRead     Kind = "read"          // Attempt: the relay has read the response to an attempt, which ends the attempts of its request
	Executed         Kind = "effect"        // ID Message Destination: an attempt was executed
	EndpointShown    Kind = "shown"         // Endpoint Destination State: discovery shows a change
	EndpointNotified Kind = "told"          // Relay Endpoint Destination State: discovery has sent the change to a relay
	Redelivered      Kind = "resent"        // ID Message Relay Destination Class Subject: the first attempt of a redelivery, under an id that the relay generated
	StoredBefore     Kind = "before"        // ID Message Relay Destination Class Subject: the message was a dead letter before the run, and had not been executed
	WatchRequested   Kind = "asked"         // Relay OK: the relay requested a watch; OK: the watch began
	WatchEnded       Kind = "unwatched"     // Relay: a watch ended
	WatchSilent      Kind = "silent"        // Relay: the relay's watch stays open, but discovery sends nothing on it from now on
	Notified         Kind = "noticed"       // ID Relay State: the platform has received the notice of a terminal outcome
	Started          Kind = "started"       // Relay Process: the relay's process number Process, from 1, was started; its predecessor may still run
	Ready            Kind = "ready"         // Relay Process: the process accepts requests; a predecessor that still runs is replaced
	Stopping         Kind = "stopping"      // Relay: a graceful shutdown was requested
	Killed           Kind = "killed"        // Relay OK: the process was ended by SIGKILL, or, with OK, exited by itself
	MachineLost      Kind = "lost"          // Relay: the relay's machine was lost, with its folder
	Crashed          Kind = "crashed"       // Relay Status: the process exited although no shutdown was requested
	Halted           Kind = "halted"        // Relay: the process is suspended
	Suspended        Kind = "suspended"     // Relay: the process is suspended during its graceful shutdown, until it is killed
	Resumed          Kind = "resumed"       // Relay: the suspended process continues
	SocketsBreak     Kind = "sockets-break" // Relay: from now on fault injection makes some of its connections look broken
	SocketsHold      Kind = "sockets-hold"  // Relay: its connections no longer look broken
	FolderFails      Kind = "folder-fails"  // Relay: from now on some or all writes to its folder fail
	FolderWorks      Kind = "folder-works"  // Relay: writes to its folder no longer fail
	CrowdCame        Kind = "crowd"         // Relay: from now on a crowd of callers holds connections, which use up the relay's descriptors
	CrowdLeft        Kind = "crowd-left"    // Relay: the crowd has closed its connections
	OutageBegan      Kind = "out"           // Destination Endpoint State: an outage of kind State begins; an empty Endpoint means all endpoints
	OutageEnded      Kind = "back"          // Destination Endpoint OK: the outage ends; OK: the destination starts cold
	DiscoveryDown    Kind = "reg-down"      // discovery does not respond
	DiscoveryUp      Kind = "reg-up"        // discovery responds again
	Connected        Kind = "connected"     // Relay Destination Endpoint: the relay opened a connection to an endpoint
	DiscoveryMoved   Kind = "moved"         // Relay: the relay was instructed to use another discovery service
	MetricsRead      Kind = "scraped"       // Relay Process Metrics: the metrics read from the admin endpoint of a process
	LateEvent        Kind = "late-event"    // Duration: the harness itself was late with an event, by Duration
)

// Outcomes of attempts, in Event.Outcome.
const (
	OK          = "ok"     // 200 written
	Error       = "error"  // 500 written
	Rejected    = "full"   // 503 written
	RetryAfter  = "wait"   // 429 with a Retry-After written
	Reset       = "reset"  // the endpoint reset the connection after the body
	Interrupted = "cut"    // the endpoint failed or became unreachable while the attempt was in flight
	Abandoned   = "left"   // the relay closed the connection before a response
	NotSent     = "unsent" // the response stated that the attempt counts as not sent: no slot, attempt or time was left, or the request does not belong to this run
)

// States of endpoints, in Event.State.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Statuses of terminal outcomes, in Event.State.
const (
	Undeliverable = "undeliverable"
	Deferred      = "deferred"
)

// Event is one line of a log.
type Event struct {
	At          time.Duration `json:"at"`
	Kind        Kind          `json:"kind"`
	ID          string        `json:"id,omitempty"`
	Message     int           `json:"msg,omitempty"`   // the message's number in the scenario's workload
	Relay       int           `json:"relay,omitempty"` // from 0
	Destination int           `json:"dest,omitempty"`
	Endpoint    string        `json:"host,omitempty"`
	Class       int           `json:"class,omitempty"`
	OrderKey    string        `json:"item,omitempty"`
	Subject     string        `json:"subject,omitempty"` // the subject whose status the message reports; of two messages, the one with the higher number is newer
	Attempt     int           `json:"call,omitempty"`    // number of the attempt, unique over all relays
	FirstByte   time.Duration `json:"first,omitempty"`
	Duration    time.Duration `json:"for,omitempty"`
	Status      int           `json:"status,omitempty"` // with AttemptEnded: 410 or 504, if the response ends the attempts of its request
	Outcome     string        `json:"outcome,omitempty"`
	State       string        `json:"state,omitempty"`
	Executed    bool          `json:"ran,omitempty"`
	OK          bool          `json:"ok,omitempty"`
	Process     int           `json:"process,omitempty"` // number of the process among its relay's processes, from 1
	Metrics     *Scrape       `json:"figures,omitempty"`
}

// byTime returns a copy of a log sorted by time. Events with the same time keep the order in which they were written.
func byTime(log []Event) []Event {
	log = slices.Clone(log)
	slices.SortStableFunc(log, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return log
}
