package socket

import (
	"net"
	"time"

	"frostlink/internal/syserr"
)

const (
	// patientTries is how often a read or write is made again that this machine had no means for, patientPause apart: 0.1 s in all, a
	// quarter of what a client waits for its answer.
	patientTries = 50
	patientPause = 2 * time.Millisecond
)

// Patient is a connection whose reads and writes go on where one fails for want of something on this machine, as with ENOMEM or ENOBUFS
// (recv(2), send(2)): the connection is as good as before. Its deadlines hold.
type Patient struct{ net.Conn }

// Read reads what has come.
func (p Patient) Read(b []byte) (n int, err error) {
	for range patientTries {
		if n, err = p.Conn.Read(b); n > 0 || !passes(syserr.Read, err) {
			break
		}
		time.Sleep(patientPause)
	}
	return n, err
}

// Write writes all of b.
func (p Patient) Write(b []byte) (written int, err error) {
	for range patientTries {
		var n int
		n, err = p.Conn.Write(b[written:])
		if written += n; !passes(syserr.Write, err) {
			break
		}
		time.Sleep(patientPause)
	}
	return written, err
}

// passes tells whether a call failed for want of something here.
func passes(call syserr.Operation, err error) bool {
	return err != nil && syserr.Classify(call, err) == syserr.Local
}
