// Package journal stores the requests that a relay has accepted in a file that outlives the relay's
// process.
//
// One goroutine owns a Journal. It adds a record of each change of state; the record is applied to the
// state in memory and buffered. The goroutine calls Commit before any effect that relies on the change:
// before a client is notified that its request was accepted, before the first byte of an attempt is
// sent, and before a notice is sent to the platform. A later process that replays the file restores
// every committed change.
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
//	"anchor"  anchor                   the clock.Anchor of the timeline to which all instants belong
//	"terms"   terms, count             class settings; entries refer to them by the number count
//	"taken"   entry; body              a request was accepted; the body is its payload
//	"begun"   id, host, at             an attempt to the endpoint host starts
//	"ended"   id, unrun, why, at       the last attempt of the request ended, with outcome why
//	"done"    id                       delivered; the dead-letter store has not been notified yet
//	"owed"    id, notice, why, at      terminal outcome decided; its recipient has not acknowledged it yet
//	"over"    id, at                   completed: the relay has nothing left to do for the request
//	"past"    body                     some of the completed requests, see appendCompleted
//	"list"    list, from               endpoint list, or a change of it, and the discovery service that sent it
//	"store"   from, count              name of the dead-letter store, and the highest arrival number
//	"health"  host, health             health of an endpoint
//
// The members why and at of "ended" and "owed" are written only where a dead-letter store is
// configured. A record of an unknown kind, or one about a request that is not open, has no effect.
//
// # Replay
//
// Replay applies records from the start of the file and stops at the first record that is truncated,
// fails its checksum or has an invalid JSON part. The rest of the file is skipped and reported as a
// CorruptRecordError: a process that is killed during a write leaves such a tail. If only the body of a
// "past" record can't be decoded, that record is skipped and replay continues with the next one.
//
// # Compaction
//
// The file is compacted when it is much larger than its live content, when it would exceed its size
// limit, or after a commit has failed. The live records are written to "journal.new", which is then
// renamed to "journal". The old file stays complete until the rename, so a process that is killed at
// any point of a compaction loses no record. Acquire compacts too, to drop a corrupt tail before
// records are appended after it.
//
// # Guarantees
//
// A completed request is remembered until it expires, in memory and in the file: Reserve rejects requests while there is no space or
// memory for their ids.
//
// After Commit has returned nil, every record added so far survives SIGKILL of the process. The file is
// not synced to the disk, so a crash of the machine may lose the latest commits. If an append fails,
// Commit truncates the file to its size before the append. If this truncation or the rename of a
// compaction fails, MayHoldUncommitted reports that a later process may read uncommitted records.
//
// # Versions
//
// An anchored file starts with an "anchor" record; its instants belong to the relay's timeline. An
// unanchored file was written by a program version from before that record existed: its instants are
// wall-clock times in the same encoding, and the timeline of the process that reads the file begins at
// the time of the wall clock, but not before the latest instant in the file. An "over" record without
// the member at was written by an earlier version too, or withdraws a request whose acceptance could
// not be committed; its request is not remembered as completed. A request whose "entry" has no terms was accepted by an earlier version; the current settings apply to
// it.
//
// # Files
//
//   - journal.go: the Journal type, opening and inspecting a journal
//   - entry.go: the stored fields of a request
//   - changes.go: one method for each change of state that callers record
//   - commit.go: writing the buffered records
//   - capacity.go: the size limit, and reservations under it
//   - record.go: the encoding of records
//   - record_buffer.go: the records that wait for the next commit
//   - replay.go: reading a file, and the effect of each kind of record
//   - compact.go: writing a new file with the live records
//   - completed.go: the completed requests that are remembered, and their encoding
//   - folder_monitor.go: backoff and recovery after failed writes
//   - errors.go: the errors
package journal
