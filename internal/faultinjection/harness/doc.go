// Package harness runs a fault injection scenario on sockets. It starts relays as processes of their own, and stands in for
// all that surrounds them: clients, load balancer, destinations, discovery, platform, operators and network, all on loopback
// addresses. What the stand-ins see goes into an event log, by which package checker judges the relays.
//
// What is decided is elsewhere, in packages that know neither sockets nor the time: what clients draw and which faults there
// are (package scenario), what a destination answers (package destination), which rules were broken (package checker).
//
// Stand-ins have addresses of their own for each relay, so that it is known which relay calls. Faults and clients outlast the
// calls that start them; they end with the context of the run, and Run waits for them.
//
// A run on a machine that is too busy proves nothing: the harness records how late it was itself, and marks a result as void
// when too many of its own events were late.
//
// Files:
//
//	run.go                   the phases of a run
//	harness.go               what a run consists of
//	setup.go                 opening and closing it
//	recorder.go              the event log, failures, and the harness's own lateness
//	poll.go                  waiting for a condition
//	timeline.go              what happens at its time
//	check.go                 judging a run
//	result.go                what a run needs and shows
//	result_print.go          a result as text
//	redelivery_summary.go    the redeliveries that a destination got
//	progress.go              a line of progress a second
//	logs.go                  saving logs for people
//	ledger.go                what is known of each submission
//	relay.go                 a relay: what outlasts its processes
//	relay_config.go          its configuration files
//	relay_process.go         its processes: start, end, signals
//	relay_faults.go          faults of a relay: kill, restart, hang, failing system calls
//	relay_usage.go           memory, descriptors, CPU time and disk that it uses
//	deadletter_stores.go     the relays' dead-letter stores before and after a run
//	admin_client.go          requests to a relay's admin endpoint, and health checks
//	scrape.go                operators read a relay's metrics
//	standby.go               an operator puts a relay on standby
//	reload.go                an operator gives a relay new settings, or a broken file
//	upgrade.go               an operator replaces a relay's process
//	load_balancer.go         which relay gets a client's message
//	client.go                clients: submissions, retries, resubmissions
//	client_exchange.go       a submission over HTTP
//	client_conn.go           clients' connections
//	destination_server.go    a destination: its model, and the endpoints that it is served by
//	endpoint_server.go       an endpoint: its listeners and connections in each of its modes
//	endpoint_conn.go         a relay's connection to an endpoint
//	attempt.go               an attempt on such a connection
//	unreachable.go           addresses to which no connection comes up
//	outage.go                outages and degradations of destinations
//	endpoint_replacement.go  endpoints that drain, and those that replace them
//	fault_schedule.go        a scenario's faults as actions at their times
//	fault_schedule_relay.go  those that befall relays
//	discovery_server.go      discovery, at an address for each relay
//	endpoint_list.go         the endpoint list and its changes
//	notification_server.go   the platform's receiver of notifications
//	network.go               datagrams between relays
//	coordination.go          the coordination service
package harness
