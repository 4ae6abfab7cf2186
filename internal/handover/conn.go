package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"

	"frostlink/internal/clock"
	"frostlink/internal/logkey"
)

// ConnKind is the use of a passed connection.
type ConnKind string

// The kinds of connection.
const (
	ClientConn       ConnKind = "client" // from a client: idle, or with a part of a request read
	AttemptConn      ConnKind = "call"   // to an endpoint, with an attempt in flight
	IdleEndpointConn ConnKind = "host"   // to an endpoint, idle
)

// Conn is a connection that is passed to the successor.
type Conn struct {
	Kind ConnKind `json:"kind"`
	// Buffered contains the bytes that were read of an incomplete request or response.
	Buffered []byte `json:"read,omitempty"`
	// Unused is set if nothing was ever read from a client's connection.
	Unused bool `json:"fresh,omitempty"`
	// Endpoint and Addr are set on idle connections to endpoints.
	Endpoint string `json:"host,omitempty"`
	Addr     string `json:"addr,omitempty"`
	// ID is the id of the request whose attempt uses the connection.
	ID string `json:"id,omitempty"`
	// Since is the time at which the connection became idle, or the attempt began.
	Since clock.Instant `json:"since,omitzero"`

	// Conn is sent as a descriptor.
	Conn *net.TCPConn `json:"-"`
}

// decodeBatch decodes a batch's list, and adds the connections of its descriptors. An entry whose
// descriptor is not a TCP connection is skipped.
func decodeBatch(body []byte, files []*os.File) ([]Conn, error) {
	var batch []Conn
	err := json.Unmarshal(body, &batch)
	if err == nil && len(batch) != len(files) {
		err = errDescriptorCount
	}
	if err != nil {
		for _, f := range files {
			_ = f.Close()
		}
		return nil, fmt.Errorf("handover: %d connections with %d descriptors: %w", len(batch), len(files), err)
	}
	received := batch[:0]
	for i, c := range batch {
		c.Conn, err = tcpConn(files[i])
		if err != nil {
			slog.Warn("descriptor received in hand-over is not a TCP connection; connection lost", logkey.Err, err)
			continue
		}
		received = append(received, c)
	}
	return received, nil
}

// tcpConn returns the TCP connection of a descriptor, and closes the file.
func tcpConn(f *os.File) (*net.TCPConn, error) {
	defer func() { _ = f.Close() }() // net.FileConn duplicates the descriptor
	conn, err := net.FileConn(f)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, errNotTCP
	}
	return tcp, nil
}

// duplicate returns another descriptor of a connection's socket. The caller has to close it; until then
// the socket stays open, even if the connection is closed.
func duplicate(c syscall.Conn) (fd int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return -1, fmt.Errorf("handover: %w", err)
	}
	controlErr := raw.Control(func(old uintptr) { fd, err = unix.FcntlInt(old, unix.F_DUPFD_CLOEXEC, 0) })
	if err := errors.Join(controlErr, err); err != nil {
		return -1, fmt.Errorf("handover: duplicate descriptor: %w", err)
	}
	return fd, nil
}
