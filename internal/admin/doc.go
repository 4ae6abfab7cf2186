// Package admin is the operators' HTTP endpoint of a relay, and the metrics that it shows.
//
// The endpoint has an address of its own and serves HTTP/1.1 with one request a connection:
//
//	GET  /status             200 "yes: STATE" while the process serves clients, else 503 "no: STATE"
//	GET  /status/metrics     the metrics as JSON, see Snapshot
//	GET  /status/invariants  {"violations": {KIND: COUNT}}, all 0 unless the program has a fault
//	POST /standby            stop serving clients; 200 "yes: standing by"
//	POST /active             serve clients again; 200 "yes: active"
//
// Any other path is answered with 404, any other method with 405. A handler reads published snapshots and sets the serving mode: no
// request waits for the relay's event loop, for its disk or for a client.
//
// Metrics has one writer, the event loop, which counts and publishes. Readers get one published Snapshot, so the values of one
// read are of one time. AttemptsSent alone is added to by other goroutines.
//
// Files:
//
//	server.go       Server: the HTTP server's life, its limits
//	handlers.go     the requests above
//	connections.go  the limit on connections, and which one is closed for a new one
//	metrics.go      Metrics: the counters and how they are published
//	snapshot.go     Snapshot: what readers see, and its JSON form
package admin
