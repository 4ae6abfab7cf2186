package syserr

import (
	"errors"
	"slices"
	"syscall"
)

// Operation is the system call that failed.
type Operation int

// The operations.
const (
	Accept Operation = iota
	Socket
	Bind // bind and listen
	Connect
	Read  // of a connection
	Write // to a connection
	File  // open, read, write, ftruncate, fsync and rename of files

	operationCount
)

// Class says what an error means.
type Class int

// The classes.
const (
	// Fatal errors are a mistake of the program or of its configuration: another attempt changes nothing.
	Fatal Class = iota
	// Local errors are temporary: this machine is short of something. They say nothing of the other side,
	// and nothing was sent.
	Local
	// Peer errors are of the other side, or of the network: the connection could not be made, or is broken.
	Peer
)

func (c Class) String() string { return [...]string{"fatal", "local", "peer"}[c] }

// anyOperation has the local errors of any operation (errno(3)).
var anyOperation = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM, syscall.ENOBUFS, syscall.EMFILE, syscall.ENFILE,
}

// brokenConnection has the errors of a connection that is broken or can't be made.
var brokenConnection = []syscall.Errno{
	syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EPIPE, syscall.ETIMEDOUT,
	syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENETRESET,
	syscall.ENONET, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ENOTCONN, syscall.ESHUTDOWN,
}

// errnos are the errors of one operation by class. An errno in both is local; one in neither is fatal.
type errnos struct{ local, peer []syscall.Errno }

// table has the errors of each operation beside those of anyOperation.
var table = [operationCount]errnos{
	// accept(2): "Linux accept() passes already-pending network errors on the new socket as an error code
	// ... treat them like EAGAIN by retrying". EPERM is a firewall's.
	Accept: {local: append(slices.Clone(brokenConnection), syscall.EPERM)},

	Socket: {},

	// bind(2), listen(2): a port may be free again in a moment.
	Bind: {local: []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL}},

	// connect(2), ip(7): no ephemeral port, no route, or a firewall's verdict. A route that stays away is a
	// peer's error, see ClassifyPersistent.
	Connect: {
		local: []syscall.Errno{
			syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN,
			syscall.EPERM, syscall.EACCES,
		},
		peer: brokenConnection,
	},

	Read:  {peer: brokenConnection},
	Write: {peer: brokenConnection},

	// write(2), open(2), rename(2), fsync(2): a full or failing disk, a quota, a file system that was
	// remounted read-only.
	File: {local: []syscall.Errno{
		syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS,
		syscall.EBUSY, syscall.ESTALE, syscall.ETIMEDOUT, syscall.ENOLCK,
	}},
}

// Classify returns the class of an operation's error. One that wraps no errno is fatal: it is not of a
// system call.
func Classify(operation Operation, err error) Class {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return Fatal
	}
	switch known := table[operation]; {
	case slices.Contains(anyOperation, errno), slices.Contains(known.local, errno):
		return Local
	case slices.Contains(known.peer, errno):
		return Peer
	}
	return Fatal
}

// ClassifyPersistent returns the class of a connect's error that has outlasted all attempts: a missing
// route counts as the other side's then.
func ClassifyPersistent(err error) Class {
	if errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.ENETDOWN) {
		return Peer
	}
	return Classify(Connect, err)
}

// IsDescriptorShortage reports whether an error is a shortage of descriptors: closing one relieves it.
func IsDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
