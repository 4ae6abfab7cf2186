// Package checker judges relays by the six rules, from nothing but what the stand-ins round them wrote down. It shares
// no code with the relay or its decisions but the types of the settings. All times are since the start of the run.
//
// The rules are those of the protocol: every message that was accepted has exactly one end, in time; no effect
// happens twice; drains are kept; a destination that returns is not pushed over; order is kept where a class asks
// for it; waits are heeded.
package checker

import (
	"cmp"
	"slices"
	"time"

	"frostlink/internal/settings"
)

// Kind says what an event of the log tells.
type Kind string

// The kinds of event, with the fields that each has beside At.
const (
	Submitted        Kind = "handed-in"     // ID Msg Relay Dest Class Item Subject For: a client has sent a message with so long to go
	Answered         Kind = "answered"      // ID Relay Status For: the client heard the relay's answer, and when to come again
	AnswerMissed     Kind = "unheard"       // ID Relay State OK: the client waits no more, or, with OK, the connection ended without an answer
	AttemptSent      Kind = "called"        // ID Relay Dest Host Call First: a call's last byte has come; First: its first
	Probed           Kind = "probed"        // Relay Dest Host Call
	AttemptEnded     Kind = "ended"         // Call Outcome For Ran: a call's answer is about to be written, or it ended without
	Executed         Kind = "effect"        // ID Msg Dest: a call had its effect
	EndpointShown    Kind = "shown"         // Host Dest State: the register shows a change
	EndpointNotified Kind = "told"          // Relay Host Dest State: the register has written it to a relay
	Redelivered      Kind = "resent"        // ID Msg Relay Dest Class Subject: the first call for a message under an id of a relay's making
	StoredBefore     Kind = "before"        // ID Msg Relay Dest Class Subject: it was given up before the run, and never ran
	WatchRequested   Kind = "asked"         // Relay OK: a watch began, or failed
	WatchEnded       Kind = "unwatched"     // Relay: a watch ended
	WatchSilent      Kind = "silent"        // Relay: its watch stays open and says nothing from now on
	Notified         Kind = "noticed"       // ID Relay State: the platform has received an end
	Started          Kind = "started"       // Relay Process: its n-th process, from 1; it may come to stand beside the one before
	Ready            Kind = "ready"         // Relay Process: it takes clients, also in the place of the one before
	Stopping         Kind = "stopping"      // Relay: a planned end was asked for
	Killed           Kind = "killed"        // Relay: SIGKILL, or it ended by itself
	MachineLost      Kind = "lost"          // Relay: its machine is gone, with its folder
	Crashed          Kind = "crashed"       // Relay Status: it ended without being asked to
	Halted           Kind = "halted"        // Relay: it does not run
	Resumed          Kind = "resumed"       // Relay
	SocketsBreak     Kind = "sockets-break" // Relay: some of its connections are made to look broken from now on
	SocketsHold      Kind = "sockets-hold"  // Relay: none is any more
	FolderFails      Kind = "folder-fails"  // Relay: writes to its folder fail from now on, some or all
	FolderWorks      Kind = "folder-works"  // Relay: none does any more
	OutageBegan      Kind = "out"           // Dest Host State: an outage begins; Host empty: of all endpoints
	OutageEnded      Kind = "back"          // Dest Host OK: it ends; OK: the destination starts cold
	DiscoveryDown    Kind = "reg-down"      // the register does not answer
	DiscoveryUp      Kind = "reg-up"        //
	Connected        Kind = "connected"     // Relay Dest Host: a connection to an endpoint
	DiscoveryMoved   Kind = "moved"         // Relay: told to use another discovery service
	MetricsRead      Kind = "scraped"       // Relay Process Figures: what a process's door showed
	LateEvent        Kind = "late-event"    // For: the rig itself was late by so long
)

// Outcomes of calls, in Event.Outcome.
const (
	OK          = "ok"     // 200 written
	Error       = "error"  // 500 written
	Rejected    = "full"   // 503 written
	RetryAfter  = "wait"   // 429 with a wait written
	Reset       = "reset"  // the endpoint reset the connection after the body
	Interrupted = "cut"    // the endpoint died or vanished with the call out
	Abandoned   = "left"   // the relay ended the connection before an answer
	NotSent     = "unsent" // answered as not sent: no slot, no attempt or no time left, or no message of this run
)

// States of endpoints, in Event.State.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Statuses of notices, in Event.State.
const (
	Undeliverable = "undeliverable"
	Deferred      = "deferred"
)

// Event is one line of the log.
type Event struct {
	At          time.Duration `json:"at"`
	Kind        Kind          `json:"kind"`
	ID          string        `json:"id,omitempty"`
	Message     int           `json:"msg,omitempty"`   // number of the message in the script's draws
	Relay       int           `json:"relay,omitempty"` // from 0
	Destination int           `json:"dest,omitempty"`
	Endpoint    string        `json:"host,omitempty"`
	Class       int           `json:"class,omitempty"`
	OrderKey    string        `json:"item,omitempty"`
	Subject     string        `json:"subject,omitempty"` // of what a message is a status: of two, the higher number is the newer
	Attempt     int           `json:"call,omitempty"`    // number of the call, over all relays
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

// Parameters are what the rules are judged by.
type Parameters struct {
	Settings     settings.Settings
	NotifyWithin time.Duration // what discovery shows counts as known after this, while it is up
	Destinations []Destination
}

// Destination is what the scenario says of a destination.
type Destination struct {
	Name          string
	Capacity      float64       // calls a second when warm and whole
	ColdCapacity  float64       // of it right after an outage
	SlowStartTime time.Duration // until all of it is back
}

// Rule is one of the rules, as breaches are reported.
type Rule string

// The rules. "No message is lost" has three parts, "no effect happens twice" two; the last two are the platform's.
const (
	OutcomeMissing        Rule = "message lost"
	OutcomeLate           Rule = "late end"
	OutcomeTwice          Rule = "two ends"
	Unanswered            Rule = "closed without an answer" // on a request that was sent whole, on a new connection
	ExecutedTwice         Rule = "effect twice"
	ConcurrentAttempts    Rule = "second copy"
	DrainBroken           Rule = "drain not kept"
	DestinationOverloaded Rule = "returning partner pushed over"
	OrderBroken           Rule = "order not kept"
	RetryAfterIgnored     Rule = "wait not heeded"
	WrongDestination      Rule = "host of another partner"
	UnknownRequest        Rule = "message nobody handed in"
	DeadLetterMissing     Rule = "undelivered message not kept"
	Overwritten           Rule = "newer status overwritten"
	FailedUntried         Rule = "untried messages given up after a restart"
	AcceptedLate          Rule = "taken on only after delivery"
	MetricsWrong          Rule = "figures wrong"
	DeadLetterWrong       Rule = "undelivered message kept wrongly"
)

// Violation is a rule that was broken.
type Violation struct {
	Rule        Rule          `json:"rule"`
	At          time.Duration `json:"at"`
	ID          string        `json:"id,omitempty"`
	Relay       int           `json:"relay"` // from 1
	Destination string        `json:"partner,omitempty"`
	Text        string        `json:"text"`
}

// byTime puts a log in order. Of events at one time, those that were written first come first.
func byTime(log []Event) []Event {
	log = slices.Clone(log)
	slices.SortStableFunc(log, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return log
}
