// Package fleet analyses the traces of all relays of a fleet (package trace) together, because load that is harmless from
// each relay may be harmful in sum. Only [ReadFiles] reads files; everything else computes tables from events.
//
// [Summarize] counts events by second and by destination, and finds the outages of destinations. [NewIndex] prepares the
// events for the lookup of single messages: [Index.History] returns what happened to a message at all relays, with the
// violations of its terms that the traces prove, and the gaps in the traces that leave a violation possible.
//
// Times are in milliseconds, as in the traces, unless a name says otherwise.
//
// # Files
//
//	read.go       reading logs line by line, and listing the lines that can't be used
//	counts.go     Counts: the counters of a second, of a destination and of the fleet
//	summary.go    Summarize
//	outage.go     outages of a destination, and the relays that sent to it just after
//	index.go      Index: events by relay, message and key
//	history.go    History of one message
//	violation.go  Violation and its kinds
//	relay_audit.go  checking the events of one message at one relay in order
package fleet
