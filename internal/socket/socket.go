package socket

import (
	"time"

	"frostlink/internal/syserr"
)

// PastDeadline is a deadline that has passed. Set on a connection, it ends the calls that wait there.
var PastDeadline = time.Unix(1, 0)

// minBackoff and maxBackoff bound the backoff before a connection is attempted again for which this
// machine was short of something: ports, buffers and routes come back in milliseconds, and a request
// has seconds.
const minBackoff, maxBackoff = 5 * time.Millisecond, 50 * time.Millisecond

// isLocal reports whether a call failed for a shortage on this machine.
func isLocal(operation syserr.Operation, err error) bool {
	return err != nil && syserr.Classify(operation, err) == syserr.Local
}
