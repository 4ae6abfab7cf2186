package harness

import (
	"io"
	"net"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/pressure"
	"frostlink/internal/wait"
)

// crowdRequest is the beginning of a request. Every second caller of a crowd sends it and never sends the rest.
const crowdRequest = "POST /status HTTP/1.1\r\nHost: service.internal\r\nReq"

// hostileBehaviors are what the callers of a hostile crowd do.
var hostileBehaviors = []pressure.Behavior{
	pressure.SlowWriter, pressure.HalfBody, pressure.ManyFields, pressure.OpenHead, pressure.Silent,
}

// crowd has callers hold connections to the relay for a while, half of them idle and half with an incomplete request, or hostile
// ones. A connection that the relay closes is opened again.
func (r *relay) crowd(d time.Duration, callers int, hostile bool) {
	r.h.count(Crowded)
	r.h.record(checker.Event{Kind: checker.CrowdCame, Relay: r.number})
	defer func() { r.h.record(checker.Event{Kind: checker.CrowdLeft, Relay: r.number}) }()
	if hostile {
		r.h.count(CrowdedHostile)
		crowd := pressure.NewCrowd(r.listen, callers, hostileBehaviors...)
		defer crowd.Close()
		wait.For(r.h.ctx, d)
		return
	}
	end := r.h.now() + d
	for i := range callers {
		request := ""
		if i%2 == 0 {
			request = crowdRequest
		}
		r.h.background.Go(func() { r.holdConn(end, request) })
	}
	wait.For(r.h.ctx, d)
}

// holdConn holds a connection to the relay until a time, and opens another one whenever the relay closes it.
func (r *relay) holdConn(end time.Duration, request string) {
	for r.h.now() < end {
		if conn, err := net.DialTimeout("tcp", r.listen, end-r.h.now()); err == nil {
			r.holdUntilClosed(conn, end, request)
		}
		if !wait.For(r.h.ctx, signalInterval) {
			return
		}
	}
}

func (r *relay) holdUntilClosed(conn net.Conn, end time.Duration, request string) {
	defer func() { _ = conn.Close() }()                   // no data is expected on it
	_ = conn.SetDeadline(time.Now().Add(end - r.h.now())) // fails only on a closed connection, on which the write fails too
	if _, err := io.WriteString(conn, request); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn) // until the relay closes the connection, or the deadline passes
}
