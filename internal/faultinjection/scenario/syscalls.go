package scenario

import (
	"syscall"

	"golang.org/x/sys/unix"

	"frostlink/internal/faultinjection/faults"
)

// SocketSyscalls are the system calls on sockets that a fault can make fail, by their names in scenario files.
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

// shortTransferName is used in place of an errno for a read or write that transfers only a part of the data.
const shortTransferName = "SHORT"

// heldUpName is used in place of an errno for a call that is made late, as if the process had got no processor time between reading
// its clock and making the call.
const heldUpName = "HELD_UP"

// maxErrno is the highest errno of Linux (errno(3)).
const maxErrno = 133

// Errno returns the error with a name from errno(3), faults.ShortTransfer for SHORT, faults.HeldUp for HELD_UP, and 0 for an unknown
// name.
func Errno(name string) syscall.Errno {
	switch name {
	case shortTransferName:
		return faults.ShortTransfer
	case heldUpName:
		return faults.HeldUp
	case "EOPNOTSUPP": // the same number as ENOTSUP, which is the only name that unix.ErrnoName returns for it
		return syscall.EOPNOTSUPP
	}
	for errno := syscall.Errno(1); errno <= maxErrno; errno++ {
		if unix.ErrnoName(errno) == name {
			return errno
		}
	}
	return 0
}
