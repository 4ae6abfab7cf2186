package scenario

import (
	"syscall"

	"golang.org/x/sys/unix"

	"frostlink/internal/faultinjection/faults"
)

// SocketSyscalls are the kinds of system call on sockets that an event may have fail, by their names in scripts.
var SocketSyscalls = map[string]faults.Syscall{
	"accept": faults.Accept, "connect": faults.Connect, "socket": faults.Socket, "read": faults.SocketRead,
	"write": faults.SocketWrite, "wait": faults.PollWait,
}

// FileSyscalls are those that write to a relay's folder.
var FileSyscalls = []faults.Syscall{faults.FileWrite, faults.FileSync, faults.FileOpen, faults.FileRename}

// shortName stands for a read or write of a part, where errnos are named.
const shortName = "SHORT"

// lastErrno is the highest errno of Linux (errno(3)).
const lastErrno = 133

// Errno gives the error of a name as errno(3) has it, or 0.
func Errno(name string) syscall.Errno {
	if name == shortName {
		return faults.ShortTransfer
	}
	if name == "EOPNOTSUPP" { // one number has two names on Linux
		return syscall.EOPNOTSUPP
	}
	for e := syscall.Errno(1); e <= lastErrno; e++ {
		if unix.ErrnoName(e) == name {
			return e
		}
	}
	return 0
}
