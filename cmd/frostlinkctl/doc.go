// Command frostlinkctl is the operators' tool: it plays scenarios, decides on dead letters, looks at the coordination service, its leases
// and the export, and counts what the relays of a fleet did together.
//
// A command stands in GROUP_COMMAND.go: a constructor with its help, a struct of its flags with the method that runs it, and what it
// prints. What people type and read keeps its words: the group undelivered is about dead letters, and the help speaks of scripts, partners
// and rehearsals where the code has scenarios and destinations (docs/glossary.md).
//
// # Files
//
//	main.go        the command line
//	deprecated.go  old words of commands, hidden, with a warning
//	output.go      results as JSON or as text, and what was found as an exit code
//	table.go       tables and instants as text
//	bounds.go      bounds of numbers in flags
//	concurrent.go  calls side by side
//	program.go     the programs of the project that the tool starts
//	quantile.go    quantiles of sorted values
//
//	scenario.go             scenario: the group, its common flags, scenarios found by their names
//	scenario_run.go         plays a scenario
//	scenario_repeat.go      plays a scenario several times with one seed
//	scenario_spread.go      how figures differ between runs
//	scenario_soak.go        plays random faults, a run a seed
//	scenario_clocksteps.go  plays scenarios with wall clocks stepped
//	scenario_play.go        inconclusive runs played again, and the verdict on several runs
//	scenario_check.go       checks scenarios
//	scenario_list.go        lists scenarios
//
//	undelivered.go         undelivered: the group
//	undelivered_store.go   the store of a running or a stopped relay
//	undelivered_filter.go  flags that select messages
//	undelivered_list.go    lists messages
//	undelivered_show.go    shows a message
//	undelivered_stats.go   counts messages
//	undelivered_check.go   says what the operator's rules would do
//	undelivered_verify.go  finds damage
//	undelivered_export.go  writes messages to a file
//	undelivered_import.go  reads them from one
//	undelivered_decide.go  hold, resend, discard and attest
//
//	fleet.go             fleet: the group, and logs read
//	fleet_count.go       counts traces by second and destination
//	fleet_follow.go      looks messages up in traces
//	follow.go            the history of a message in words
//	fleet_play.go        plays fleets in virtual time
//	fleet_play_print.go  tables of what was played
//
//	coord.go                 coord: the group
//	coord_service.go         the coordination service, named by flags, and requests to it
//	coord_call.go            a command that makes a request and prints its result
//	coord_status.go          asks all members for their status
//	coord_members.go         lists the members
//	coord_add.go             adds a member
//	coord_remove.go          removes a member
//	coord_snapshot.go        saves the state
//	coord_verify.go          checks a saved state
//	coord_faultrun.go        plays faults between members and relays
//	coord_faultrun_print.go  the table of such runs
//	coord_measure.go         measures a service
//	coord_measurement.go     how it is measured
//
//	lease.go          lease: the group, and leases read
//	lease_list.go     lists leases
//	lease_show.go     shows a lease
//	lease_revoke.go   takes a lease from its holder
//	lease_history.go  shows events of leases
//
//	export.go        export: the group, and the ledger read
//	export_check.go  checks the export
//	export_cat.go    prints its records
package main
