package handover

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// socketNetwork is the network of the hand-over socket: SOCK_SEQPACKET preserves packet boundaries.
const socketNetwork = "unixpacket"

// descriptorSize is the size in bytes of a descriptor in ancillary data: a C int (cmsg(3)).
const descriptorSize = 4

// link is a connection between the two processes.
type link struct{ conn *net.UnixConn }

// dial connects to the owner of a folder.
func dial(dir string) (*link, error) {
	path, release, err := socketPath(dir)
	if err != nil {
		return nil, err
	}
	defer release()
	conn, err := net.DialUnix(socketNetwork, nil, &net.UnixAddr{Name: path, Net: socketNetwork})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &link{conn}, nil
}

// send sends a frame with descriptors. The caller still has to close its descriptors.
func (l *link) send(kind frameKind, body []byte, fds ...int) error {
	var rights []byte
	if len(fds) > 0 {
		rights = unix.UnixRights(fds...)
	}
	if err := l.conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	packet := append([]byte{byte(kind)}, body...)
	if _, _, err := l.conn.WriteMsgUnix(packet, rights, nil); err != nil {
		return fmt.Errorf("handover: send frame %v: %w", kind, err)
	}
	return nil
}

// sendLong sends a body in frames of kind part, followed by a frame of kind end with the descriptors.
func (l *link) sendLong(part, end frameKind, body []byte, fds ...int) error {
	for len(body) > 0 {
		n := min(len(body), maxFrameBody)
		if err := l.send(part, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return l.send(end, nil, fds...)
}

// receive waits for the next frame until the deadline. The zero time means no deadline.
func (l *link) receive(deadline time.Time) (frame, error) {
	if err := l.conn.SetReadDeadline(deadline); err != nil {
		return frame{}, fmt.Errorf("handover: %w", err)
	}
	packet := make([]byte, 1+maxFrameBody)
	control := make([]byte, unix.CmsgSpace(descriptorSize*(maxFrameFiles+1)))
	n, controlSize, _, _, err := l.conn.ReadMsgUnix(packet, control)
	if err != nil {
		return frame{}, fmt.Errorf("handover: receive frame: %w", err)
	}
	if n == 0 { // unreachable: on this network ReadMsgUnix returns io.EOF with n == 0; protects packet[0]
		return frame{}, net.ErrClosed
	}
	files, err := receivedFiles(control[:controlSize])
	if err != nil {
		return frame{}, err
	}
	return frame{kind: frameKind(packet[0]), body: packet[1:n], files: files}, nil
}

// receivedFiles returns the descriptors in the ancillary data of a packet.
func receivedFiles(control []byte) (files []*os.File, err error) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil, fmt.Errorf("handover: descriptors: %w", err)
	}
	for i := range messages {
		fds, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			return nil, fmt.Errorf("handover: descriptors: %w", err)
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handover"))
		}
	}
	return files, nil
}

// receiveLong receives a body in frames of kind part, and returns it with the frame of another kind that
// follows. The deadline is the same for every frame.
func (l *link) receiveLong(part frameKind, deadline time.Time) (body []byte, last frame, err error) {
	for {
		f, err := l.receive(deadline)
		if err != nil {
			return nil, frame{}, err
		}
		if f.kind != part {
			return body, f, nil
		}
		body = append(body, f.body...)
	}
}

// receiveHello waits for the successor's hello. It rejects another version of the protocol, because such a
// successor could misinterpret the frames that it receives.
func (l *link) receiveHello() error {
	f, err := l.receive(time.Now().Add(helloTimeout))
	if err != nil {
		return err
	}
	if f.kind != frameHello {
		return &unexpectedFrameError{got: f.kind, want: frameHello}
	}
	var h hello
	if err := json.Unmarshal(f.body, &h); err != nil {
		return fmt.Errorf("handover: hello %q: %w", f.body, err)
	}
	if h.Version != Version {
		return fmt.Errorf("%w: %d, want %d", errVersionMismatch, h.Version, Version)
	}
	return nil
}

// closeAtEnd waits until the other side closes the link, and closes this side.
func (l *link) closeAtEnd() {
	for {
		if _, err := l.receive(time.Time{}); err != nil {
			l.close()
			return
		}
	}
}

func (l *link) close() { _ = l.conn.Close() } // no data is buffered, so an error loses none
