package syserr

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Errors are classified through what the standard library wraps round them.
func TestOf(t *testing.T) {
	wrap := func(errno syscall.Errno) error {
		return fmt.Errorf("connect: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)})
	}
	for _, c := range []struct {
		call  Operation
		errno syscall.Errno
		want  Class
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
		if got := Classify(c.call, wrap(c.errno)); got != c.want {
			t.Errorf("call %d, %v: %v, want %v", c.call, c.errno, got, c.want)
		}
	}
	if got := Classify(Read, os.ErrDeadlineExceeded); got != Fatal {
		t.Errorf("an error without errno: %v", got)
	}
	if !IsDescriptorShortage(wrap(syscall.ENFILE)) || IsDescriptorShortage(wrap(syscall.ENOBUFS)) {
		t.Error("a descriptor relieves the want of one, and no other")
	}
	if ClassifyPersistent(wrap(syscall.ENETUNREACH)) != Peer || ClassifyPersistent(wrap(syscall.EADDRNOTAVAIL)) != Local {
		t.Error("a route that stays away is the other side's, a port that does is not")
	}
}

func TestBackoff(t *testing.T) {
	b := Backoff{Min: 2, Max: 10}
	var got []time.Duration
	for range 5 {
		got = append(got, b.Next())
	}
	b.Reset()
	if got = append(got, b.Next()); fmt.Sprint(got) != "[2ns 4ns 8ns 10ns 10ns 2ns]" {
		t.Errorf("%v", got)
	}
}
