// Package admin provides a relay's HTTP endpoint for operators, and the metrics that it serves.
//
// The endpoint has its own address and serves HTTP/1.1 with one request per connection:
//
//	GET  /status             200 "yes: STATE" while the process serves clients, else 503 "no: STATE"
//	GET  /status/metrics     the metrics as JSON, see Snapshot
//	GET  /status/invariants  {"violations": {KIND: COUNT}}, all 0 unless the program has a fault
//	POST /standby            stop serving clients; 200 "yes: standing by"
//	POST /active             serve clients again; 200 "yes: active"
//
// Any other path is answered with 404, any other method with 405. Handlers only read published snapshots and set the serving mode, so
// no request waits for the relay's event loop, its disk or a client.
//
// Metrics has one writer, the event loop, which counts and publishes. A reader gets one published Snapshot, so all values of one read
// are from the same time. Only AttemptsSent is also incremented by other goroutines.
//
// Files:
//
//	server.go       Server: start, shutdown and limits of the HTTP server
//	handlers.go     the handlers of the requests above
//	connections.go  the limit on connections, and the choice of the connection to close at the limit
//	metrics.go      Metrics: the counters, and their publication
//	snapshot.go     Snapshot: the published values, and their JSON encoding
package admin
