package checker

import (
	"cmp"
	"slices"
	"time"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events, with the fields that each has beside At.
const (
	Submitted        Kind = "handed-in"     // ID Message Relay Destination Class OrderKey Subject Duration: a client has sent a request that has Duration left
	Answered         Kind = "answered"      // ID Relay Status Duration: the client got the relay's response, with a Retry-After of Duration
	AnswerMissed     Kind = "unheard"       // ID Relay State OK: the client no longer waits, or, with OK, the connection ended without a response
	ClosedOnRequest  Kind = "closed-on"     // ID Relay Duration: the relay closed a connection in order, without a response, so long after a request was written on it
	AttemptSent      Kind = "called"        // ID Relay Destination Endpoint Attempt FirstByte: the last byte of an attempt has come, its first at FirstByte
	Probed           Kind = "probed"        // Relay Destination Endpoint Attempt: the same of a health check
	AttemptEnded     Kind = "ended"         // Attempt Outcome Duration Executed: the response to an attempt is about to be written, or it ended without
	Executed         Kind = "effect"        // ID Message Destination: an attempt was executed
	EndpointShown    Kind = "shown"         // Endpoint Destination State: discovery shows a change
	EndpointNotified Kind = "told"          // Relay Endpoint Destination State: discovery has written it to a relay
	Redelivered      Kind = "resent"        // ID Message Relay Destination Class Subject: the first attempt for a message under an id of a relay's making
	StoredBefore     Kind = "before"        // ID Message Relay Destination Class Subject: it was a dead letter before the run, and not executed
	WatchRequested   Kind = "asked"         // Relay OK: a watch began, or failed
	WatchEnded       Kind = "unwatched"     // Relay: a watch ended
	WatchSilent      Kind = "silent"        // Relay: its watch stays open and sends nothing from now on
	Notified         Kind = "noticed"       // ID Relay State: the platform has received a terminal outcome
	Started          Kind = "started"       // Relay Process: its n-th process, from 1; the one before may still run
	Ready            Kind = "ready"         // Relay Process: it accepts requests, also in place of the one before
	Stopping         Kind = "stopping"      // Relay: a graceful shutdown was requested
	Killed           Kind = "killed"        // Relay OK: SIGKILL, or, with OK, it exited by itself
	MachineLost      Kind = "lost"          // Relay: its machine is gone, with its folder
	Crashed          Kind = "crashed"       // Relay Status: it exited without being asked to
	Halted           Kind = "halted"        // Relay: its process is stopped
	Resumed          Kind = "resumed"       // Relay: its process goes on
	SocketsBreak     Kind = "sockets-break" // Relay: some of its connections are made to look broken from now on
	SocketsHold      Kind = "sockets-hold"  // Relay: none is any more
	FolderFails      Kind = "folder-fails"  // Relay: writes to its folder fail from now on, some or all
	FolderWorks      Kind = "folder-works"  // Relay: none fails any more
	CrowdCame        Kind = "crowd"         // Relay: callers take its descriptors from now on
	CrowdLeft        Kind = "crowd-left"    // Relay: they have gone
	OutageBegan      Kind = "out"           // Destination Endpoint State: an outage begins; Endpoint empty: of all endpoints
	OutageEnded      Kind = "back"          // Destination Endpoint OK: it ends; OK: the destination starts cold
	DiscoveryDown    Kind = "reg-down"      // discovery does not answer
	DiscoveryUp      Kind = "reg-up"        // discovery answers again
	Connected        Kind = "connected"     // Relay Destination Endpoint: a connection to an endpoint
	DiscoveryMoved   Kind = "moved"         // Relay: it was told to use another discovery service
	MetricsRead      Kind = "scraped"       // Relay Process Metrics: what a process's admin endpoint showed
	LateEvent        Kind = "late-event"    // Duration: the harness itself was late by so much
)

// Outcomes of attempts, in Event.Outcome.
const (
	OK          = "ok"     // 200 written
	Error       = "error"  // 500 written
	Rejected    = "full"   // 503 written
	RetryAfter  = "wait"   // 429 with a Retry-After written
	Reset       = "reset"  // the endpoint reset the connection after the body
	Interrupted = "cut"    // the endpoint died or vanished with the attempt in flight
	Abandoned   = "left"   // the relay closed the connection before a response
	NotSent     = "unsent" // the response said that it counts as not sent: no slot, no attempt or no time was left, or it is no request of this run
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
	Message     int           `json:"msg,omitempty"`   // its number in the scenario's workload
	Relay       int           `json:"relay,omitempty"` // from 0
	Destination int           `json:"dest,omitempty"`
	Endpoint    string        `json:"host,omitempty"`
	Class       int           `json:"class,omitempty"`
	OrderKey    string        `json:"item,omitempty"`
	Subject     string        `json:"subject,omitempty"` // what the message is about: of two messages, the one with the higher number is the newer
	Attempt     int           `json:"call,omitempty"`    // number of the attempt, over all relays
	FirstByte   time.Duration `json:"first,omitempty"`
	Duration    time.Duration `json:"for,omitempty"`
	Status      int           `json:"status,omitempty"`
	Outcome     string        `json:"outcome,omitempty"`
	State       string        `json:"state,omitempty"`
	Executed    bool          `json:"ran,omitempty"`
	OK          bool          `json:"ok,omitempty"`
	Process     int           `json:"process,omitempty"` // of the relay, from 1
	Metrics     *Scrape       `json:"figures,omitempty"`
}

// byTime returns a log ordered by time. Events at one time stay in the order in which they were written.
func byTime(log []Event) []Event {
	log = slices.Clone(log)
	slices.SortStableFunc(log, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return log
}
