package socket

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// LastDataAge returns how long ago the kernel received the last bytes on a connection, whether or not they were read since
// (tcpi_last_data_recv of tcp(7)). The connection may have waited in the queue of its listening socket then. The precision is that of
// the kernel's timer, some milliseconds.
func LastDataAge(c syscall.Conn) (time.Duration, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("socket: last data: %w", err)
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err := errors.Join(controlErr, err); err != nil {
		return 0, fmt.Errorf("socket: last data: %w", err)
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, nil
}
