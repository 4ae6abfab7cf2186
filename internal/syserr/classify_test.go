package syserr

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// wrap returns an errno wrapped as by the net package of the standard library.
func wrap(errno syscall.Errno) error {
	return fmt.Errorf("connect: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)})
}

func TestClassify(t *testing.T) {
	names := [operationCount]string{"accept", "socket", "bind", "connect", "read", "write", "file"}
	for _, test := range []struct {
		operation Operation
		errno     syscall.Errno
		want      Class
	}{
		{Accept, syscall.ENOBUFS, Local},
		{Accept, syscall.EPROTO, Local},
		{Accept, syscall.EPERM, Local},
		{Accept, syscall.ENETDOWN, Local},
		{Accept, syscall.ENONET, Local},
		{Accept, syscall.EMFILE, Local},
		{Accept, syscall.EBADF, Fatal},
		{Accept, syscall.EINVAL, Fatal},
		{Accept, syscall.ENOTSOCK, Fatal},
		{Accept, syscall.ECONNABORTED, Local},
		{Accept, syscall.EOPNOTSUPP, Local},
		{Socket, syscall.ENFILE, Local},
		{Socket, syscall.ENOBUFS, Local},
		{Socket, syscall.EAFNOSUPPORT, Fatal},
		{Bind, syscall.EADDRINUSE, Local},
		{Bind, syscall.EACCES, Fatal},
		{Connect, syscall.ECONNREFUSED, Peer},
		{Connect, syscall.ETIMEDOUT, Peer},
		{Connect, syscall.EHOSTUNREACH, Peer},
		{Connect, syscall.EADDRNOTAVAIL, Local},
		{Connect, syscall.ENETUNREACH, Local},
		{Connect, syscall.EAGAIN, Local},
		{Read, syscall.ETIMEDOUT, Peer},
		{Read, syscall.EHOSTUNREACH, Peer},
		{Read, syscall.ECONNRESET, Peer},
		{Read, syscall.EINTR, Local},
		{Write, syscall.EPIPE, Peer},
		{Write, syscall.ENOBUFS, Local},
		{Write, syscall.EFAULT, Fatal},
		{File, syscall.ENOSPC, Local},
		{File, syscall.EIO, Local},
		{File, syscall.EROFS, Local},
		{File, syscall.EDQUOT, Local},
		{File, syscall.EACCES, Fatal},
		{File, syscall.ENOENT, Fatal},
		{File, syscall.EISDIR, Fatal},
	} {
		t.Run(names[test.operation]+" "+test.errno.Error(), func(t *testing.T) {
			if got := Classify(test.operation, wrap(test.errno)); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestClassify_FatalWithoutErrno(t *testing.T) {
	if got := Classify(Read, os.ErrDeadlineExceeded); got != Fatal {
		t.Errorf("got %v, want %v", got, Fatal)
	}
}

func TestIsDescriptorShortage(t *testing.T) {
	if !IsDescriptorShortage(wrap(syscall.ENFILE)) || IsDescriptorShortage(wrap(syscall.ENOBUFS)) {
		t.Error("want a descriptor shortage for ENFILE, and none for ENOBUFS")
	}
}

func TestClassifyPersistent(t *testing.T) {
	if ClassifyPersistent(wrap(syscall.ENETUNREACH)) != Peer || ClassifyPersistent(wrap(syscall.EADDRNOTAVAIL)) != Local {
		t.Error("want a peer error for a missing route, and a local error for a missing port")
	}
}
