// Command frostlink-coord is the coordination service: three or five of its processes agree on who
// holds which lease. It is the only program here that links a consensus library; relays and
// frostlinkctl only call it.
//
// # Files
//
//	main.go    the command line
//	init.go    init: the folder of a member with which a cluster begins
//	join.go    join: the folder of a member that joins a running cluster
//	run.go     run: a member, until it is stopped
//	verify.go  verify: checks the folder of a member that does not run
//	prove.go   prove: simulates whole clusters in virtual time, and checks them
package main
