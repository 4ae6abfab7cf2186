// Package stand has small stand-ins for the clients, the endpoints and the platform of a relay, and starts the relay itself with the run
// command of the deploy file. The cases of the second review are programs that use it.
//
// Every address is a loopback address, and every port is a free one. A case records what happened in the file record.txt of its folder.
package stand
