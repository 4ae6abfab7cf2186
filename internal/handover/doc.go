// Package handover moves a running relay from an old process, the predecessor, to a new one that the
// platform starts beside it, the successor: state, ownership and connections.
//
// # Concepts
//
// A relay is owned by at most one process. The owner holds an exclusive lock on the relay's folder,
// writes its journal, and serves its connections. Ownership passes at one moment: when the predecessor
// sends the lock's descriptor. Before it the successor does nothing that the predecessor could not
// resume from; after it the predecessor does nothing. If one of them dies or hangs at any step, a
// process that lives becomes the owner within the timeouts, or the platform's next one does.
//
// Each side is a state machine without I/O or clock, in one table: predecessor.go, successor.go. The
// machines take events and return actions. Owner.Serve carries out the predecessor's actions on a
// Source, Acquire the successor's on a Recipient.
//
// # Protocol
//
// The owner listens on the Unix socket "handover" in the folder (SOCK_SEQPACKET, mode 0600); the lock
// is a flock(2) on the file "lock" beside it. A frame is one packet: a byte for its kind, and a body of
// at most 64 KiB. Bodies are JSON. A longer body is split over frames of one kind, followed by a frame
// of another kind that ends it. Descriptors travel as ancillary data (SCM_RIGHTS, unix(7)), at most 16
// with a frame. A packet's bounds are preserved, so descriptors arrive with the frame that they were
// sent with.
//
//	successor                           predecessor
//	'h' hello {"version":1}        -->
//	                                    quiesces the relay and compacts its journal (300 ms)
//	                               <--  's' state ...  parts of the state, as the Source returned it
//	                               <--  'o' offer      the state is complete (3 s from hello)
//	reads the journal and the state
//	'r' ready                      -->                 (1 s from the offer)
//	                               <--  'y' lock       with the lock's descriptor: ownership passes
//	acquires the journal
//	'a' acknowledged               -->                 (2 s)
//	                               <--  'c' conns ...  parts of the batch's list of Conn
//	                               <--  'b' batch      the batch is complete, with its descriptors
//	'a' acknowledged               -->                 (2 s), and so on for each batch
//	                               <--  'd' done       there are no more connections
//	serves                              keeps the link open until SIGTERM
//
// The end of the link means that the other process has died, or will not go on. Each time in brackets
// bounds how long a side waits for the step; after it the predecessor resumes, or, once the lock was
// sent, counts the connections that were not acknowledged as lost. The successor waits for the lock
// without a bound: it may have been sent already, and only the end of the link says that it was not.
// After 'd' the link stays open, so that a predecessor that was not yet stopped learns when its
// successor dies, and takes the folder back.
//
// Connections are passed in batches after the lock, so that both processes together hold few more
// descriptors than one does.
//
// A hello of another version is rejected. Members may be added to JSON bodies without a new version.
//
// # Files
//
//   - machine.go: events, actions, and what the two state machines share
//   - predecessor.go, successor.go: the state machines
//   - owner.go: ownership of a folder, and listening for successors
//   - transfer.go: the predecessor's side of one hand-over
//   - acquire.go: the successor's side
//   - conn.go: connections that are passed
//   - frame.go: kinds of frame, sizes, timeouts
//   - link.go: sending and receiving frames
//   - lock.go: the folder's lock and the socket's address
//   - errors.go: the errors
package handover
