// Package checker judges relays by the six rules, from nothing but what the stand-ins round them wrote down. It shares
// no code with the relay or its decisions but the types of the settings. All times are since the start of the run.
//
// The rules are those of the protocol: every message that was taken on has exactly one end, in time; no effect
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
	HandedIn     Kind = "handed-in"     // ID Msg Relay Dest Class Item Subject For: a client has sent a message with so long to go
	Answered     Kind = "answered"      // ID Relay Status For: the client heard the relay's answer, and when to come again
	Unheard      Kind = "unheard"       // ID Relay State OK: the client waits no more, or, with OK, the connection ended without an answer
	Called       Kind = "called"        // ID Relay Dest Host Call First: a call's last byte has come; First: its first
	Probed       Kind = "probed"        // Relay Dest Host Call
	Ended        Kind = "ended"         // Call Outcome For Ran: a call's answer is about to be written, or it ended without
	Effect       Kind = "effect"        // ID Msg Dest: a call had its effect
	Shown        Kind = "shown"         // Host Dest State: the register shows a change
	Told         Kind = "told"          // Relay Host Dest State: the register has written it to a relay
	Resent       Kind = "resent"        // ID Msg Relay Dest Class Subject: the first call for a message under an id of a relay's making
	Before       Kind = "before"        // ID Msg Relay Dest Class Subject: it was given up before the run, and never ran
	Asked        Kind = "asked"         // Relay OK: a watch began, or failed
	Unwatched    Kind = "unwatched"     // Relay: a watch ended
	Silent       Kind = "silent"        // Relay: its watch stays open and says nothing from now on
	Noticed      Kind = "noticed"       // ID Relay State: the platform has received an end
	Started      Kind = "started"       // Relay Process: its n-th process, from 1; it may come to stand beside the one before
	Ready        Kind = "ready"         // Relay Process: it takes clients, also in the place of the one before
	Stopping     Kind = "stopping"      // Relay: a planned end was asked for
	Killed       Kind = "killed"        // Relay: SIGKILL, or it ended by itself
	Lost         Kind = "lost"          // Relay: its machine is gone, with its folder
	Crashed      Kind = "crashed"       // Relay Status: it ended without being asked to
	Halted       Kind = "halted"        // Relay: it does not run
	Resumed      Kind = "resumed"       // Relay
	SocketsBreak Kind = "sockets-break" // Relay: some of its connections are made to look broken from now on
	SocketsHold  Kind = "sockets-hold"  // Relay: none is any more
	FolderFails  Kind = "folder-fails"  // Relay: writes to its folder fail from now on, some or all
	FolderWorks  Kind = "folder-works"  // Relay: none does any more
	Out          Kind = "out"           // Dest Host State: an outage begins; Host empty: of all endpoints
	Back         Kind = "back"          // Dest Host OK: it ends; OK: the partner is cold
	RegDown      Kind = "reg-down"      // the register does not answer
	RegUp        Kind = "reg-up"        //
	Connected    Kind = "connected"     // Relay Dest Host: a connection to an endpoint
	Moved        Kind = "moved"         // Relay: told to go to another register
	Scraped      Kind = "scraped"       // Relay Process Figures: what a process's door showed
	LateEvent    Kind = "late-event"    // For: the rig itself was late by so long
)

// Outcomes of calls, in Event.Outcome.
const (
	OK     = "ok"     // 200 written
	Error  = "error"  // 500 written
	Full   = "full"   // 503 written
	Wait   = "wait"   // 429 with a wait written
	Reset  = "reset"  // the endpoint reset the connection after the body
	Cut    = "cut"    // the endpoint died or vanished with the call out
	Left   = "left"   // the relay ended the connection before an answer
	Unsent = "unsent" // answered as not sent: no slot, no attempt or no time left, or no message of this run
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
	At      time.Duration `json:"at"`
	Kind    Kind          `json:"kind"`
	ID      string        `json:"id,omitempty"`
	Msg     int           `json:"msg,omitempty"`   // number of the message in the script's draws
	Relay   int           `json:"relay,omitempty"` // from 0
	Dest    int           `json:"dest,omitempty"`
	Host    string        `json:"host,omitempty"`
	Class   int           `json:"class,omitempty"`
	Item    string        `json:"item,omitempty"`
	Subject string        `json:"subject,omitempty"` // of what a message is a status: of two, the higher number is the newer
	Call    int           `json:"call,omitempty"`    // number of the call, over all relays
	First   time.Duration `json:"first,omitempty"`
	For     time.Duration `json:"for,omitempty"`
	Status  int           `json:"status,omitempty"`
	Outcome string        `json:"outcome,omitempty"`
	State   string        `json:"state,omitempty"`
	Ran     bool          `json:"ran,omitempty"`
	OK      bool          `json:"ok,omitempty"`
	Process int           `json:"process,omitempty"` // of the relay, from 1
	Figures *Scrape       `json:"figures,omitempty"`
}

// Figures are what the rules are judged by.
type Figures struct {
	Settings     settings.Settings
	TellWithin   time.Duration // what the register shows counts as told after this, while it is up
	Destinations []Destination
}

// Destination is what the script says of a partner.
type Destination struct {
	Name      string
	Capacity  float64       // calls a second when warm and whole
	ColdShare float64       // of it right after an outage
	Warm      time.Duration // until all of it is back
}

// Rule is one of the rules, as breaches are reported.
type Rule string

// The rules. "No message is lost" has three parts, "no effect happens twice" two; the last two are the platform's.
const (
	NoEnd        Rule = "message lost"
	LateEnd      Rule = "late end"
	TwoEnds      Rule = "two ends"
	Unanswered   Rule = "closed without an answer" // on a request that was sent whole, on a new connection
	Twice        Rule = "effect twice"
	SecondCopy   Rule = "second copy"
	DrainBroken  Rule = "drain not kept"
	PushedOver   Rule = "returning partner pushed over"
	OrderBroken  Rule = "order not kept"
	WaitIgnored  Rule = "wait not heeded"
	WrongHost    Rule = "host of another partner"
	Unknown      Rule = "message nobody handed in"
	NotKept      Rule = "undelivered message not kept"
	Overwritten  Rule = "newer status overwritten"
	GivenUntried Rule = "untried messages given up after a restart"
	TakenLate    Rule = "taken on only after delivery"
	FiguresWrong Rule = "figures wrong"
	KeptWrong    Rule = "undelivered message kept wrongly"
)

// Breach is a rule that was broken.
type Breach struct {
	Rule  Rule          `json:"rule"`
	At    time.Duration `json:"at"`
	ID    string        `json:"id,omitempty"`
	Relay int           `json:"relay"` // from 1
	Dest  string        `json:"partner,omitempty"`
	Text  string        `json:"text"`
}

// byTime puts a log in order. Of events at one time, those that were written first come first.
func byTime(log []Event) []Event {
	log = slices.Clone(log)
	slices.SortStableFunc(log, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return log
}
