// Package server is the I/O round a member of the coordination service: its loop, its disk and its
// connections.
//
// One goroutine, that of Node.Run, owns the replica's core and everything else of the node. HTTP
// handlers send it functions to run (do) and commands to propose (await). After each batch of
// events it runs the core's rounds, in which what the core has decided is saved before what depends
// on it is sent (package replica).
//
// Messages to other members go through one goroutine a member, in order. A queue that is full drops
// them, as a network would: Raft repeats what matters.
//
// Clients may wait for a hint that something became of a session's leases. A hint carries nothing
// and may be lost; the client renews its session to learn more.
//
// # Frames
//
// The body of a POST to api.PathRaft is any number of frames, each an envelope of package replica
// behind its length:
//
//	length    4 bytes, big-endian
//	envelope  length bytes
//
// # Files
//
//	node.go      the node and its loop
//	request.go   functions and commands that handlers send to the loop, and their completions
//	hints.go     hints for sessions
//	handler.go   the HTTP paths, reading requests and writing answers
//	clients.go   handlers for clients
//	members.go   handler for changes of the members
//	receive.go   handler for messages from other members
//	peers.go     messages to other members
//	frame.go     the form of their bodies
package server
