// Command frostlink-coord is the coordination service: three or five of its processes agree on who
// holds which lease. It is the only program of this repository that links a consensus library;
// relays and frostlinkctl only call it.
//
// # Files
//
//	main.go    the command line
//	init.go    init: creates the folder of an initial member of a new cluster
//	join.go    join: creates the folder of a member that joins a running cluster
//	run.go     run: runs a member until it is stopped
//	verify.go  verify: checks the folder of a member that is not running
//	prove.go   prove: simulates whole clusters in virtual time, and checks them
package main
