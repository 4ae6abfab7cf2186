// Command frostlinkctl is the operators' tool: it plays scenarios, manages dead letters, inspects the coordination service, its leases and
// the export, and summarizes the traces of a fleet's relays.
//
// Each command is in GROUP_COMMAND.go: a constructor with its help, a struct for its flags with the method that runs it, and functions that
// print the result. Command names, help and output use some terms that the code does not: the group undelivered is about dead letters, and
// scripts and partners are called scenarios and destinations in the code (docs/glossary.md).
//
// # Files
//
//	main.go        the command line
//	deprecated.go  hidden aliases for old command names, which print a warning
//	output.go      results as JSON or text, and exit codes for problems found
//	table.go       tables and timestamps as text
//	bounds.go      checks of the bounds of numeric flags
//	concurrent.go  concurrent calls
//	program.go     finds the project's other programs, which the tool starts
//	quantile.go    quantiles of sorted values
//
//	scenario.go             scenario: the group, its common flags, and scenarios looked up by name
//	scenario_run.go         plays a scenario
//	scenario_repeat.go      plays a scenario several times with one seed
//	scenario_spread.go      the variation of figures between runs
//	scenario_soak.go        plays random faults, one run per seed
//	scenario_clocksteps.go  plays scenarios while stepping the relays' wall clocks
//	scenario_play.go        repeats inconclusive runs, and combines the verdicts of several runs
//	scenario_check.go       checks scenarios
//	scenario_list.go        lists scenarios
//
//	undelivered.go         undelivered: the group
//	undelivered_store.go   opens the store of a running or a stopped relay
//	undelivered_filter.go  flags that select messages
//	undelivered_list.go    lists messages
//	undelivered_show.go    shows a message
//	undelivered_stats.go   counts messages
//	undelivered_check.go   shows what the operator's rules would do
//	undelivered_verify.go  checks the store for damage
//	undelivered_export.go  writes messages to a file
//	undelivered_import.go  reads messages from a file
//	undelivered_decide.go  hold, resend, discard and attest
//
//	fleet.go             fleet: the group, and reading of logs
//	fleet_count.go       counts traced events by second and destination
//	fleet_follow.go      looks messages up in traces
//	follow.go            prints the history of a message
//	fleet_play.go        simulates fleets in virtual time
//	fleet_play_print.go  prints the results of simulations
//
//	coord.go                 coord: the group
//	coord_service.go         flags that name the coordination service, and requests to it
//	coord_call.go            a command that makes a request and prints its result
//	coord_status.go          shows the status of all members
//	coord_members.go         lists the members
//	coord_add.go             adds a member
//	coord_remove.go          removes a member
//	coord_snapshot.go        saves the state
//	coord_verify.go          checks a saved state
//	coord_faultrun.go        runs members and relays under injected faults
//	coord_faultrun_print.go  prints the results of fault runs
//	coord_measure.go         the command that measures a service's performance
//	coord_measurement.go     the measurement itself
//
//	lease.go          lease: the group, and reading of leases
//	lease_list.go     lists leases
//	lease_show.go     shows a lease
//	lease_revoke.go   revokes a lease
//	lease_history.go  shows events of leases
//
//	export.go        export: the group, and reading of the ledger
//	export_check.go  checks the export
//	export_cat.go    prints the export's records
package main
