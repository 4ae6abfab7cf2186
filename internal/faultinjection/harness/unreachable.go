package harness

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// fillerConns is the number of connections that fill a listener's accept queue: with a backlog of 0, the kernel still
	// queues one connection.
	fillerConns = 2
	// fillTimeout is the time after which a connection attempt counts as failed because the queue is full.
	fillTimeout = 50 * time.Millisecond
)

// blockAddresses makes connection attempts to the endpoint's addresses time out: a listener whose accept queue is full drops
// SYNs, so that the endpoint looks like a machine that has vanished.
func (e *endpointServer) blockAddresses() {
	var mu sync.Mutex // guards e.blockers between the goroutines below; the caller holds the destination's lock
	var blocking sync.WaitGroup
	for _, addr := range e.addrs {
		blocking.Go(func() {
			blockers, err := blockAddress(addr)
			mu.Lock()
			defer mu.Unlock()
			e.blockers = append(e.blockers, blockers...)
			if err != nil {
				e.destination.harness.recordFailure("endpoint %s can't be made unreachable: %v", e.id, err)
			}
		})
	}
	blocking.Wait()
}

// closeBlockers frees the addresses again.
func (e *endpointServer) closeBlockers() {
	for _, b := range e.blockers {
		_ = b.Close()
	}
	e.blockers = nil
}

// blockAddress makes an address unreachable until all returned blockers are closed.
func blockAddress(addr string) (blockers []io.Closer, err error) {
	fd, err := rebind(func() (listenerFD, error) { return listenWithoutBacklog(addr) })
	if err != nil {
		return nil, err
	}
	blockers = append(blockers, fd)
	for range fillerConns {
		if conn, err := net.DialTimeout("tcp", addr, fillTimeout); err == nil {
			blockers = append(blockers, conn)
		}
	}
	return blockers, nil
}

// listenerFD is the descriptor of a listening socket whose connections are never accepted.
type listenerFD int

// Close closes the descriptor.
func (fd listenerFD) Close() error {
	if err := syscall.Close(int(fd)); err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}

// listenWithoutBacklog listens at an address with a backlog of 0, which package net does not offer.
func listenWithoutBacklog(addr string) (listenerFD, error) {
	resolved, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return 0, fmt.Errorf("listen without backlog: %w", err)
	}
	raw, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, fmt.Errorf("socket for %s: %w", addr, err)
	}
	err = syscall.SetsockoptInt(raw, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(raw, &syscall.SockaddrInet4{Port: resolved.Port, Addr: [4]byte(resolved.IP.To4())})
	}
	if err == nil {
		err = syscall.Listen(raw, 0)
	}
	fd := listenerFD(raw)
	if err != nil {
		return 0, errors.Join(fmt.Errorf("listen at %s without backlog: %w", addr, err), fd.Close())
	}
	return fd, nil
}
