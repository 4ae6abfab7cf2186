// Package handover moves a running relay, with its state, ownership and connections, from an old process
// (the predecessor) to a new process (the successor) that the platform starts beside the old one.
//
// # Concepts
//
// A relay is owned by at most one process. The owner holds an exclusive lock on the relay's folder,
// writes its journal, and serves its connections. Ownership passes at one moment: when the predecessor
// sends the lock's descriptor. Until then the successor changes nothing, so that the predecessor can
// always resume; from then on the predecessor no longer acts for the relay. If one of them dies or hangs
// at any step, the remaining process becomes the owner within the timeouts, or else the next process
// that the platform starts does.
//
// Each side is a state machine without I/O or clock, defined by one transition table: predecessor.go,
// successor.go. The machines take events and return actions. Owner.Serve carries out the predecessor's
// actions on a Source, and Acquire the successor's on a Recipient.
//
// # Protocol
//
// The owner listens on the Unix socket "handover" in the folder (SOCK_SEQPACKET, mode 0600); the lock
// is a flock(2) on the file "lock" beside it. A frame is one packet: a byte for its kind, and a body of
// at most 64 KiB. Bodies are JSON. A longer body is split over several frames of one kind, and a frame
// of another kind marks its end. Descriptors are sent as ancillary data (SCM_RIGHTS, unix(7)), at most
// 16 with a frame. The socket preserves packet boundaries, so descriptors arrive together with their
// frame.
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
// A closed link means that the other process has died, or has abandoned the hand-over. Each time in
// brackets is the timeout of its step. After a timeout the predecessor resumes; once it has sent the
// lock, it instead counts the connections that were not acknowledged as lost. The successor waits for
// the lock without a timeout: the lock may have been sent already, and only the end of the link proves
// that the lock was not sent. After 'd' the link stays open, so that a predecessor that has not been
// stopped yet notices the death of its successor, and reclaims the folder.
//
// Connections are passed in batches after the lock, so that the two processes together hold only a few
// more descriptors than one process does.
//
// A hello of another version is rejected. JSON members may be added to bodies without a new version.
//
// # Files
//
//   - machine.go: events, actions, and the transition table type of both state machines
//   - predecessor.go, successor.go: the state machines
//   - owner.go: ownership of a folder, and listening for successors
//   - transfer.go: the predecessor's side of one hand-over
//   - acquire.go: the successor's side of a hand-over
//   - conn.go: connections that are passed
//   - frame.go: kinds of frame, sizes, timeouts
//   - link.go: sending and receiving frames
//   - lock.go: the folder's lock, and the socket's address
//   - errors.go: the errors
package handover
