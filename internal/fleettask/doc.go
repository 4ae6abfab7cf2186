// Package fleettask is work of the whole fleet, which one relay at a time does under a lease of the
// coordination service. The operator's file turns each task on in its section [coordination].
//
//	task        lease                what makes a late act harmless
//	heartbeat   "beat"               fenced: the monitor rejects a lower fencing token
//	export      "export"             fenced: a slice counts once it is on the ledger, a value written under the lease's token
//	resending   "resend/DESTINATION" idempotent: a resent message is checked like any other
//
// Nothing on the path of a message waits for any of it.
//
// # Export
//
// The relays collect their undelivered messages into one folder, each its own, slice by slice. A
// slice is a file of JSON lines: a SliceHeader, and a record with its body in each further line.
// Its name holds the fencing token, so that no two holders write the same file. The ledger (a
// Ledger as JSON, the value under ExportKey) names the last slice that counts, and every header
// names the slice before it: what can't be reached from the ledger does not count. A slice is
// synced before the ledger names it. A holder that was paused while it wrote one can't put it on
// the ledger: its token is old.
//
// # Resending in rotation
//
// A relay that has something to resend towards a destination requests the destination's lease. It
// releases the lease when nothing was due for a while, or when others are queued and it has held
// the lease long enough. So the rate that a rule names holds for the fleet.
//
// # Files
//
//	section.go    the section of the operator's file, its defaults and checks
//	fleet.go      a relay's part of all tasks
//	heartbeat.go  the heartbeat to a monitor
//	export.go     the export's task: which slice is next, and when it counts
//	slice.go      the form of a slice's file
//	ledger.go     the ledger, and the check of the slices against it
//	rotation.go   when the lease of a destination is requested and released
//	resend.go     the gate that lets a relay's resends through
package fleettask
