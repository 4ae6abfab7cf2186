// Package disk stores what a member of the coordination service must not forget: a
// replica.PersistentState and the member's identity.
//
// # The folder
//
//	coord.db       the store, a bbolt file
//	coord.db.next  a new store, until it is renamed to coord.db
//	lock           held by flock while a process has the folder open for writing
//
// The store has two buckets. All of raftpb are protocol buffers.
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
// A sealed value is its checksum (CRC-32C, 4 bytes, big-endian) and the value itself. The log is
// consecutive, and begins at most one entry past the snapshot.
//
// # Durability
//
// Save writes a replica.WriteBatch in one transaction that is synced before it returns: after a
// crash all of it is there, or nothing. Open relies only on what checksums vouch for. It copies
// that into a new store and renames it over the old one, since bbolt's own pages, such as its list
// of free ones, have no checksums.
//
// # Files
//
//	store.go   creating, opening, saving and closing a folder
//	read.go    reading and checking what a folder holds
//	write.go   writing batches in a transaction
//	record.go  keys, and sealed values
//	errors.go  the errors that say what is damaged
package disk
