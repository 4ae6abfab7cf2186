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
	File  // open, read, write, ftruncate, fsync and rename

	operationCount
)

// Class is the cause of an error.
type Class int

// The classes.
const (
	// Fatal errors are caused by a mistake of the program or its configuration. A retry does not help.
	Fatal Class = iota
	// Local errors are temporary errors of this machine, such as a shortage of descriptors or memory. They
	// are no sign of a fault of the peer, and the failed call sent nothing.
	Local
	// Peer errors are caused by the peer or the network: the connection could not be established, or is
	// broken.
	Peer
)

func (c Class) String() string { return [...]string{"fatal", "local", "peer"}[c] }

// anyOperation has the errors that are local for every operation (errno(3)).
var anyOperation = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM, syscall.ENOBUFS, syscall.EMFILE, syscall.ENFILE,
}

// brokenConnection has the errors of a connection that is broken or cannot be established.
var brokenConnection = []syscall.Errno{
	syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EPIPE, syscall.ETIMEDOUT,
	syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENETRESET,
	syscall.ENONET, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ENOTCONN, syscall.ESHUTDOWN,
}

// errnos has the errors of one operation by class. An errno in both lists is local, and one in neither
// list is fatal.
type errnos struct{ local, peer []syscall.Errno }

// table has the errors of each operation in addition to those of anyOperation.
var table = [operationCount]errnos{
	// accept(2): "Linux accept() passes already-pending network errors on the new socket as an error code
	// ... treat them like EAGAIN by retrying". EPERM comes from a firewall.
	Accept: {local: append(slices.Clone(brokenConnection), syscall.EPERM)},

	Socket: {},

	// bind(2), listen(2): the port may soon be free again.
	Bind: {local: []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL}},

	// connect(2), ip(7): no ephemeral port is free, there is no route, or a firewall forbids the
	// connection. If the route stays missing, the error is a peer error; see ClassifyPersistent.
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

// Classify returns the class of an operation's error. An error that wraps no errno is fatal, since it
// does not come from a system call.
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

// ClassifyPersistent returns the class of a connect error that persists after all attempts. A missing
// route then counts as a peer error, while Classify treats it as a local one.
func ClassifyPersistent(err error) Class {
	if errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.ENETDOWN) {
		return Peer
	}
	return Classify(Connect, err)
}

// IsDescriptorShortage reports whether an error is a shortage of file descriptors, which closing one
// relieves.
func IsDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
