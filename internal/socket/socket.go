package socket

import (
	"time"

	"frostlink/internal/syserr"
)

// PastDeadline is a deadline in the past. Setting it on a connection ends pending calls.
var PastDeadline = time.Unix(1, 0)

// minBackoff and maxBackoff bound the backoff between attempts to connect or listen during a shortage on
// this machine. They are short since ports, buffers and routes become available again within
// milliseconds, and a request has only seconds until its deadline.
const minBackoff, maxBackoff = 5 * time.Millisecond, 50 * time.Millisecond

// isLocal reports whether a call failed because of a shortage on this machine.
func isLocal(operation syserr.Operation, err error) bool {
	return err != nil && syserr.Classify(operation, err) == syserr.Local
}
