// Package stage plays the cases of the review: it starts the project's programs as processes, with the commands of the deploy file,
// and provides small stand-ins for the platform, the hosts, the clients and the network. All addresses are loopback addresses.
//
// A case is a function that returns the violations it saw. Play runs it, writes record.txt in the case's folder, ends everything
// that was started, and exits with 0 (rule held), 1 (rule broken) or 2 (could not run).
//
// Files:
//
//   - stage.go: Play, the record, clean-up
//   - process.go: processes of the project's programs
//   - relay.go: a relay's configuration and process
//   - settings.go: the platform's settings of a small deployment
//   - platform.go: discovery and the receiver of notices
//   - host.go: an endpoint of a destination
//   - client.go: a client
package stage
