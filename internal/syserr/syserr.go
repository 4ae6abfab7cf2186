// Package syserr classifies the errors of system calls: whose want or fault one is, and whether it passes. The tables follow the
// manual's pages of accept(2), socket(2), bind(2), connect(2), read(2), write(2), fsync(2), open(2) and rename(2). Callers go by the
// class and never by an errno of their own, so that the same error means the same everywhere.
package syserr

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// Operation is the system call that failed.
type Operation int

// The calls.
const (
	Accept Operation = iota
	Socket
	Bind
	Connect
	Read  // of a connection
	Write // to a connection
	File  // open, read, write, ftruncate, fsync and rename of files
	calls // their number
)

// Class says what an error means.
type Class int

// The classes.
const (
	// Fatal errors are a mistake of the program or of its configuration: trying again changes nothing.
	Fatal Class = iota
	// Local errors pass: this machine lacks something for the moment. They say nothing of the other side, and nothing was sent.
	Local
	// Peer errors are the other side's, or the way's to it: the connection could not be made, or is broken.
	Peer
)

func (c Class) String() string { return [...]string{"fatal", "local", "peer"}[c] }

// local are the errors of want that any call may meet (errno(3)).
var local = []syscall.Errno{syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM, syscall.ENOBUFS, syscall.EMFILE, syscall.ENFILE}

// broken are the errors of a connection that is broken, or cannot be made.
var broken = []syscall.Errno{
	syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EPIPE, syscall.ETIMEDOUT,
	syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENETRESET, syscall.ENONET, syscall.EPROTO,
	syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ENOTCONN, syscall.ESHUTDOWN,
}

// table is what each call may meet beside the errors in local.
var table = [calls]map[Class][]syscall.Errno{
	// accept(2): "Linux accept() passes already-pending network errors on the new socket as an error code ... treat them like EAGAIN by
	// retrying"; EPERM is a firewall's.
	Accept: {Local: append(slices.Clone(broken), syscall.EPERM)},
	Socket: {},
	// bind(2), listen(2): a port may be free again in a moment.
	Bind: {Local: {syscall.EADDRINUSE, syscall.EADDRNOTAVAIL}},
	// connect(2), ip(7): no ephemeral port, no route for the moment, or a firewall's word. A route that stays away is the other side's
	// for all that can be told from here: see LastsLonger.
	Connect: {Local: {syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPERM, syscall.EACCES}, Peer: broken},
	Read:    {Peer: broken},
	Write:   {Peer: broken},
	// write(2), open(2), rename(2), fsync(2): a full or failing disk, a quota, a file system that was made read-only.
	File: {Local: {syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS, syscall.EBUSY, syscall.ESTALE, syscall.ETIMEDOUT, syscall.ENOLCK}},
}

// Classify classifies the error of a call. One that holds no errno is fatal: it is not of a system call.
func Classify(call Operation, err error) Class {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return Fatal
	}
	switch {
	case slices.Contains(local, errno), slices.Contains(table[call][Local], errno):
		return Local
	case slices.Contains(table[call][Peer], errno):
		return Peer
	}
	return Fatal
}

// IsDescriptorShortage tells whether an error is the want of a descriptor, which one that is closed relieves.
func IsDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// ClassifyPersistent is the class of a connect's error that did not pass: what may be a missing route counts as the other side's then.
func ClassifyPersistent(err error) Class {
	if errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.ENETDOWN) {
		return Peer
	}
	return Classify(Connect, err)
}

// Backoff is the pause before a call that failed is made again: it doubles from the least to the most with each failure.
type Backoff struct {
	Min, Max time.Duration
	next     time.Duration
}

// Next gives the pause after one more failure.
func (b *Backoff) Next() time.Duration {
	pause := max(b.next, b.Min)
	b.next = min(2*pause, b.Max)
	return pause
}

// Reset begins anew with the least pause.
func (b *Backoff) Reset() { b.next = 0 }
