// Package servingmode is the state machine by which a relay stops serving clients, and serves them again: on an operator's request
// (standby, active), or at a graceful shutdown. It has no clock and closes nothing: callers pass the time and ask what to do.
//
// States and transitions:
//
//	from             by               to               note
//	Active           EnterStandby     DrainingClients  its time is the start of the drain
//	DrainingClients  CloseAllAfter    Standby          by time alone
//	DrainingClients  Activate         Active
//	Standby          Activate         Active
//	any              Shutdown         ShuttingDown     final
//
// Every other call in a state changes nothing; a second EnterStandby does not start the drain anew. A shutdown overlays the rest: in
// ShuttingDown the endpoint's health and the limits on idle connections stay what EnterStandby and Activate make of them.
//
// What a relay does in each state:
//
//	                         healthy  closes after response  idle connections
//	Active                   yes      no                     left open
//	DrainingClients          no       yes                    left open; from CloseIdleAfter on closed after MinIdle
//	Standby                  no       yes                    closed at once
//	ShuttingDown             yes      yes                    left open
//	ShuttingDown in standby  no       yes                    as in DrainingClients and Standby
//
// The reason for the stages: the front layer polls health every 0.1 s and sends new connections for another 0.2 s, and clients use a
// connection for as long as it is open. So health says no at once, but requests that still come are served, each response is the last
// on its connection, and idle connections are closed: first those idle for MinIdle, later all. A request that begins after that came
// on a new connection, which its response closes.
package servingmode
