// Package fleet analyses the traces of a fleet's relays (package trace): what is harmless at each relay may be harmful
// together, and shows only in the sum. Apart from [ReadFiles] it is pure: events go in, tables come out.
//
// [Summarize] counts events by second and by destination, and finds the outages of destinations. [NewIndex] prepares
// the events to look up one message: [Index.History] is what became of it at all relays, with the violations of its
// terms that the traces prove and what they leave open.
//
// Times are in milliseconds, as in the traces, unless a name says otherwise.
//
// # Files
//
//	read.go       logs read, line by line, with the lines that can't be used
//	counts.go     Counts: the counters of a second, of a destination and of the fleet
//	summary.go    Summarize
//	outage.go     outages of a destination, and who sent to it once it had recovered
//	index.go      Index: events by relay, message and key
//	history.go    History of one message
//	violation.go  kinds of violations
//	relay_audit.go  the events of one message at one relay, checked in their order
package fleet
