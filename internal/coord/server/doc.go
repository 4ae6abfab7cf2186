// Package server runs a member of the coordination service: it adds the event loop, the disk and the
// connections to package replica.
//
// One goroutine, that of Node.Run, owns the replica's core and the other state of the node. HTTP
// handlers send it functions to run (do) and commands to propose (await). After each batch of
// events it runs the core's rounds, which save the core's changes before they send the messages and
// results that depend on these changes (package replica).
//
// For each other member, one goroutine sends the messages to it, in order. When its queue is full,
// further messages are dropped, as a network would drop them; Raft repeats the necessary ones.
//
// Clients may wait for a hint that a session's leases have changed. A hint has no content and may be
// lost; the client gets the session's leases by renewing the session.
//
// # Frames
//
// The body of a POST to api.PathRaft is any number of frames. Each is an envelope of package replica
// preceded by its length:
//
//	length    4 bytes, big-endian
//	envelope  length bytes
//
// # Files
//
//	node.go      the node and its event loop
//	request.go   functions and commands that handlers send to the loop, and their completion
//	hints.go     hints for sessions
//	handler.go   the HTTP paths, decoding requests and writing answers
//	clients.go   handlers for clients
//	members.go   handler for membership changes
//	receive.go   handler for messages from other members
//	peers.go     messages to other members
//	frame.go     the encoding of these messages
package server
