// Package harness runs a fault injection scenario on sockets. It starts relays as separate processes, and stands in for
// everything that surrounds them: clients, load balancer, destinations, discovery, platform, operators and network, all on
// loopback addresses. The stand-ins record what they observe in an event log, from which package checker judges the relays.
//
// The decisions are made by other packages, which use neither sockets nor the clock: package scenario draws the clients'
// messages and lists the faults, package destination decides how a destination responds, and package checker decides which
// rules were broken.
//
// Stand-ins have a separate address for each relay, so that the address identifies the relay that calls. Faults and clients
// continue after the calls that start them have returned; they end with the context of the run, and Run waits for them.
//
// A run on a machine that is too busy proves nothing: the harness records how late its own events were, and marks a result as
// void when too many of them were late.
//
// Files:
//
//	run.go                   the phases of a run
//	harness.go               the state of a run
//	setup.go                 set-up and tear-down of a run
//	recorder.go              the event log, failures, and the lateness of the harness's own events
//	poll.go                  waiting for a condition
//	timeline.go              actions at their scheduled times
//	check.go                 judging a run
//	result.go                options and result of a run
//	result_print.go          a result as text
//	redelivery_summary.go    the redeliveries that each destination got
//	occurrence.go            situations that the runs of a soak have to contain
//	progress.go              a line of progress every second
//	logs.go                  saving the logs of a run
//	ledger.go                the state of each submission
//	relay.go                 a relay, and its state that outlives its processes
//	relay_config.go          a relay's configuration files
//	relay_process.go         a relay's processes: start, end, signals
//	relay_faults.go          faults of a relay: kill, suspension, failing system calls
//	relay_shutdown.go        graceful shutdowns and restarts of a relay, with series of signals
//	relay_usage.go           memory, descriptors, CPU time and disk space that a relay uses
//	deadletter_stores.go     the relays' dead-letter stores before and after a run
//	admin_client.go          requests to a relay's admin endpoint, and health checks
//	scrape.go                operators read a relay's metrics
//	standby.go               an operator puts a relay on standby
//	reload.go                an operator gives a relay new settings, or a corrupted file
//	upgrade.go               an operator replaces a relay's process
//	load_balancer.go         the choice of the relay for a client's message
//	client.go                clients: submissions, retries, resubmissions
//	client_exchange.go       a submission over HTTP
//	client_conn.go           clients' connections
//	reserved_conn.go         connections that clients keep for requests during a shutdown
//	crowd.go                 callers that hold many connections to a relay
//	destination_server.go    a destination: its model, and the endpoints that serve it
//	endpoint_server.go       an endpoint: its listeners and connections in each of its modes
//	rebind.go                listening again at an address whose listener was closed
//	extra_response.go        responses that nobody asked for
//	transit.go               the time that the network takes to and from an endpoint
//	copying_listener.go      acknowledgements of notifications that are written twice
//	endpoint_conn.go         a relay's connection to an endpoint
//	attempt.go               an attempt on such a connection
//	unreachable.go           addresses at which connection attempts time out
//	outage.go                outages and degradations of destinations
//	endpoint_replacement.go  endpoints that drain, and endpoints that replace them
//	fault_schedule.go        a scenario's faults as actions at their times
//	fault_schedule_relay.go  faults that are injected into relays
//	discovery_server.go      discovery, at a separate address for each relay
//	endpoint_list.go         the endpoint list and its changes
//	notification_server.go   the platform's receiver of notifications
//	network.go               datagrams between relays
//	coordination.go          the coordination service
package harness
