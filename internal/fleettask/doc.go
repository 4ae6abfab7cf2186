// Package fleettask implements the tasks of the whole fleet of relays. One relay at a time does each
// task, under a lease of the coordination service. The section [coordination] of the operator's file
// enables each of them.
//
//	task        lease                what makes a late act harmless
//	heartbeat   "beat"               fenced: the monitor rejects a lower fencing token
//	export      "export"             fenced: a slice is valid once it is in the ledger, a value written under the lease's token
//	resending   "resend/DESTINATION" idempotent: a resent message is checked like any other
//
// The processing of messages never waits for these tasks.
//
// # Export
//
// The relays collect their undelivered messages in one shared folder. Each relay adds its own
// messages, in slices. A slice is a file of JSON lines: a SliceHeader in the first line, and a record
// with its body in each further line. The file's name contains the fencing token, so that no two
// lease holders write the same file. The ledger (a Ledger as JSON, the value under ExportKey) names
// the last valid slice, and each header names the previous slice; a slice that this chain does not
// reach is not valid. A slice is synced before it is added to the ledger. A holder that is paused
// while it writes a slice, until another relay has the lease, can't add the slice to the ledger,
// because its token is out of date.
//
// # Resending in rotation
//
// A relay that has undelivered messages to resend to a destination requests the destination's lease.
// It releases the lease when no resend was due for a while, or when other relays are queued and it
// has held the lease long enough. So the resend rate in a redelivery rule applies to the whole fleet.
//
// # Files
//
//	section.go    the section of the operator's file, its defaults and validation
//	fleet.go      runs a relay's tasks
//	heartbeat.go  the heartbeat to a monitor
//	export.go     the export: choosing the next slice and adding it to the ledger
//	slice.go      the format of a slice's file
//	ledger.go     the ledger, and verifying the slices against it
//	rotation.go   decides when to request and release the lease of a destination
//	resend.go     the gate that allows a relay's resends
package fleettask
