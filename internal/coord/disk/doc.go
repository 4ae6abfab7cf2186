// Package disk stores the durable state of a member of the coordination service: a
// replica.PersistentState and the member's identity.
//
// # The folder
//
//	coord.db       the store, a bbolt file
//	coord.db.next  a new store, until it is renamed to coord.db
//	lock           held by flock while a process has the folder open for writing
//
// The store has two buckets. The raftpb types are encoded as protocol buffers.
//
//	bucket  key                    value
//	meta    "version"              4 bytes, big-endian: formatVersion
//	meta    "identity"             sealed JSON of Identity
//	meta    "lives"                sealed JSON of the member's incarnations, the latest last
//	meta    "marks"                sealed JSON of the peers' incarnations by id
//	meta    "hard"                 sealed raftpb.HardState: term, vote, commit index
//	meta    "snapshot"             sealed raftpb.Snapshot, whose data is a snapshot of package coord
//	log     index, 8 bytes,        sealed raftpb.Entry
//	        big-endian
//
// A sealed value is the value's checksum (CRC-32C, 4 bytes, big-endian) followed by the value. The
// indexes of the log are consecutive, and begin at most one past the snapshot's index.
//
// # Durability
//
// Save writes a replica.WriteBatch in one transaction and syncs it before it returns: after a crash
// the store holds the whole batch or nothing of it. Open trusts only values whose checksum is
// right. It copies these values into a new store and renames the new store over the old one, since
// bbolt's own pages, such as its list of free pages, have no checksums.
//
// # Files
//
//	store.go   creating, opening, saving and closing a folder
//	read.go    reading and checking a folder's contents
//	write.go   writing batches in a transaction
//	record.go  keys and sealed values
//	errors.go  errors for damaged or unusable folders
package disk
