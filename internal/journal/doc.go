// Package journal stores the requests that a relay has accepted in a file that outlives its process.
//
// One goroutine owns a Journal. It notes each change of state, which is applied in memory and
// buffered, and calls Commit before any effect that relies on the change: before a client is notified
// that its request was accepted, before the first byte of an attempt is sent, before a notice goes to
// the platform. A later process replays the file and finds every committed change.
//
// # File format
//
// The file "journal" is a sequence of records without separators. All integers of a header are
// big endian.
//
//	offset  size  field
//	0       4     length of the JSON part
//	4       4     length of the body
//	8       4     CRC-32C (Castagnoli) of bytes 0 to 7, the JSON part and the body
//	12            the JSON part: an object, see type record
//	              the body: raw bytes, empty for most kinds
//
// The member "op" of the JSON part is the kind of the record:
//
//	op        members                  meaning
//	"anchor"  anchor                   the clock.Anchor of the timeline that all instants are of
//	"terms"   terms, count             class settings, under the number count
//	"taken"   entry; body              a request was accepted; the body is its payload
//	"begun"   id, host, at             an attempt to the endpoint starts
//	"ended"   id, unrun, why, at       the last attempt of the request ended, with outcome why
//	"done"    id                       delivered; the dead-letter store is still to be notified
//	"owed"    id, notice, why, at      the terminal outcome is decided; the platform is still to get the notice
//	"over"    id, at                   completed: nothing more is owed for the request
//	"past"    body                     completed requests, see appendCompleted
//	"list"    list, from               endpoint list, or a change of it, and the discovery that sent it
//	"store"   from, count              name of the dead-letter store, and the highest arrival number
//	"health"  host, health             health of an endpoint
//
// The members why and at of "ended" and "owed" are written only where a dead-letter store is
// configured. Records of an unknown kind, or of a request that is not open, have no effect.
//
// # Replay
//
// Replay applies records from the start of the file and stops at the first that is cut short, fails
// its checksum or is no JSON. The rest of the file is skipped and reported as a CorruptRecordError:
// a process that was killed while it wrote leaves such a tail. A "past" record whose body can't be
// decoded is skipped alone.
//
// # Compaction
//
// The file is compacted when it has outgrown its live content, would exceed its size limit, or could
// not be appended to. The live records are written to "journal.new", which is then renamed to
// "journal". Until the rename the old file is whole, so a process that is killed at any point of a
// compaction loses nothing. Acquire compacts too, which drops a corrupt tail before anything is
// appended behind it.
//
// # Guarantees
//
// After Commit has returned nil every record noted so far survives SIGKILL of the process. Nothing is
// synced to the disk: a crash of the machine may lose the latest commits. After a failed Commit the
// records since the last good one are cut off the file again; where that fails as well,
// MayHoldUncommitted reports that a later process may find them.
//
// # Versions
//
// An anchored file starts with an "anchor" record; its instants are of the relay's timeline. An
// unanchored file was written by a program before that record: its instants are wall time in the same
// form, and no time counts as passed since then. An "over" record without at is of an earlier
// program too; its request is not remembered as completed. An "entry" without terms was accepted by
// an earlier program, and follows the current settings.
//
// # Files
//
//   - journal.go: the Journal, opening and inspecting it
//   - entry.go: what is stored of a request
//   - changes.go: the changes that callers note
//   - commit.go: writing them
//   - capacity.go: the size limit, and reservations under it
//   - record.go: the encoding of records
//   - replay.go: reading a file, and the effect of each kind of record
//   - compact.go: writing a new file with what is live
//   - completed.go: the bounded memory of completed requests, and its encoding
//   - folder_monitor.go: when to write again after a failure
//   - errors.go: the errors
package journal
