// Package trace records what a relay does in its log, one JSON object a line, so that the records of a whole fleet can be counted and
// followed afterwards (package fleet). It is for finding causes; it is off unless the operator's file has [trace] log = true, and off
// it costs nothing.
//
// # Form of a line
//
// A line begins with {"trace":1, the version, behind whatever the platform writes in front of it. "at" is the Unix time in
// milliseconds, "ev" the kind of event, "dest" the destination's number, or 0 in kinds that have none. Further keys are there where
// they are not empty or 0. The kinds, and the keys that each uses:
//
//	ev      Kind                when, and its keys
//	start   RelayStarted        the relay has its endpoint list and journal; relay, n: relays in the fleet
//	ask     WatchRequested      a watch of the endpoint list was asked for
//	told    EndpointsReceived   the list came, or a change of it; whole, n: entries
//	lost    WatchEnded          a watch ended; n: lists it had brought
//	take    Accepted            a request was accepted; id, class, its terms (below)
//	turn    Rejected            a request was rejected at its arrival; id, class, ms: Retry-After, why, its terms
//	end     Completed           an accepted request has its outcome; id, class, how, ms: its age, late, why
//	send    AttemptStarted      an attempt was sent; id, class, host, n: its number from 1, left_ms
//	answer  AttemptEnded        an attempt ended; id, class, host, how, n, ms: how long it took, left, limit, fresh, wait_ms
//	again   Resubmitted         a request was submitted again under a known id; id, class, n: the response's status, retry
//	resume  Recovered           a request was recovered from the journal; id, class, how: its outcome, where only the
//	                            notification is owed, n: attempts sent, its terms
//	notice  Notified            the platform has a request's notification; id, class
//	stop    ShutdownRequested   a graceful shutdown was asked for
//	close   ConnClosed          a client's connection was closed; why
//	folder  FolderStateChanged  the state of the relay's folder has changed; how: the new one
//	step    ClockStepped        the wall clock was stepped; ms: by how much
//
// The terms of a request are key (a digest), retry, due, left_ms, effect and memory_ms; see Event.
//
// # Files
//
//	event.go     Event, its kinds and outcomes
//	recorder.go  Recorder: events written
//	parse.go     Parse: events read
package trace
