// Package servingmode is the state machine by which a relay stops serving clients and serves them again, on an operator's request
// (standby, active) or at a graceful shutdown. It has no clock and closes no connections: callers pass the time, query the state, and
// act on it.
//
// States and transitions:
//
//	from             by               to               note
//	Active           EnterStandby     DrainingClients  the time of the call is the start of the drain
//	DrainingClients  CloseAllAfter    Standby          happens when this time has passed, without a call
//	DrainingClients  Activate         Active
//	Standby          Activate         Active
//	any              Shutdown         ShuttingDown     final
//
// Any other call leaves the state unchanged; in particular, a second EnterStandby does not restart the drain. A shutdown does not end
// standby: in ShuttingDown, the reported health and the limits on idle connections still depend on EnterStandby and Activate.
//
// The behavior of a relay in each state:
//
//	                         healthy  closes after response  idle connections
//	Active                   yes      no                     left open
//	DrainingClients          no       yes                    left open; from CloseIdleAfter on closed after MinIdle
//	Standby                  no       yes                    closed at once
//	ShuttingDown             yes      yes                    left open
//	ShuttingDown in standby  no       yes                    as in DrainingClients and Standby
//
// The drain has stages because the front layer polls health every 0.1 s and sends new connections for another 0.2 s, and because
// clients use a connection as long as it is open. Therefore the health check fails at once, but requests that still arrive are
// served. Each response is the last on its connection, and idle connections are closed: first those that were idle for MinIdle, later
// all. A request that begins after CloseAllAfter has arrived on a new connection, which is closed after the response.
package servingmode
