package scenario

import (
	"syscall"

	"golang.org/x/sys/unix"

	"frostlink/internal/faultinjection/faults"
)

// SocketSyscalls are the system calls on sockets that a fault can make fail, by their names in files.
var SocketSyscalls = map[string]faults.Syscall{
	"accept":  faults.Accept,
	"connect": faults.Connect,
	"socket":  faults.Socket,
	"read":    faults.SocketRead,
	"write":   faults.SocketWrite,
	"wait":    faults.PollWait,
}

// FileSyscalls are the system calls that write to a relay's folder.
var FileSyscalls = []faults.Syscall{faults.FileWrite, faults.FileSync, faults.FileOpen, faults.FileRename}

// shortTransferName is the name, in place of an errno, of a read or write that transfers only a part.
const shortTransferName = "SHORT"

// heldUpName is the name, in place of an errno, of a call that is made late, as by a process that got no processor time between
// reading its clock and making the call.
const heldUpName = "HELD_UP"

// maxErrno is the highest errno of Linux (errno(3)).
const maxErrno = 133

// Errno returns the error with a name as in errno(3), faults.ShortTransfer for SHORT, faults.HeldUp for HELD_UP, or 0 for an unknown
// name.
func Errno(name string) syscall.Errno {
	switch name {
	case shortTransferName:
		return faults.ShortTransfer
	case heldUpName:
		return faults.HeldUp
	case "EOPNOTSUPP": // unix.ErrnoName returns the other name of its number, ENOTSUP
		return syscall.EOPNOTSUPP
	}
	for errno := syscall.Errno(1); errno <= maxErrno; errno++ {
		if unix.ErrnoName(errno) == name {
			return errno
		}
	}
	return 0
}
