// Package trace writes the events of a relay to its log, one JSON object per line, so that the events of a whole fleet can be
// counted and followed afterwards (package fleet). The trace serves to find the causes of problems. It is written only if the
// operator's file has [trace] log = true, and costs nothing otherwise.
//
// # Format of a line
//
// Each event begins with {"trace":1, where 1 is the version of the format. The platform may write a prefix in front of it. "at" is
// the Unix time in milliseconds, "ev" the kind of event, and "dest" the destination's number, or 0 in kinds without a destination.
// Other keys are present only if they are not empty or 0. The kinds, and the keys that each uses:
//
//	ev      Kind                when it is written; its keys
//	start   RelayStarted        the relay has its endpoint list and journal; relay, n: relays in the fleet
//	ask     WatchRequested      a watch of the endpoint list was requested
//	told    EndpointsReceived   the endpoint list or a change of it was received; whole, n: entries
//	lost    WatchEnded          a watch ended; n: lists received over it
//	take    Accepted            a request was accepted; id, class, its terms (below)
//	turn    Rejected            a request was rejected on arrival; id, class, ms: Retry-After, why, its terms
//	end     Completed           an accepted request has its outcome; id, class, how, ms: its age, late, why
//	send    AttemptStarted      an attempt was sent; id, class, host, n: its number from 1, left_ms
//	answer  AttemptEnded        an attempt ended; id, class, host, how, n, ms: its duration, left, limit, fresh, wait_ms, why: its
//	                            response may belong to an earlier request
//	again   Resubmitted         a request was submitted again under a known id; id, class, n: status of the response, retry
//	resume  Recovered           a request was recovered from the journal; id, class, how: its outcome, if only the
//	                            notification is pending, n: attempts sent, its terms
//	notice  Notified            the platform has acknowledged a request's notification; id, class
//	stop    ShutdownRequested   a graceful shutdown was requested
//	close   ConnClosed          a client's connection was closed; why
//	folder  FolderStateChanged  the state of the relay's folder changed; how: the new state
//	step    ClockStepped        the wall clock was stepped; ms: by how much
//	extra   ExtraResponse       an endpoint wrote a response that nobody asked for; host, n: how many it wrote, why: how it was noticed
//
// The terms of a request are key (a digest), retry, due, left_ms, effect and memory_ms; see Event.
//
// # Files
//
//	event.go     Event, its kinds and outcomes
//	recorder.go  Recorder, which writes events
//	parse.go     Parse, which reads events
package trace
