package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Version is that of the protocol between the two processes. Fields may be added to frames without a new one.
	Version = 1
	// socketName and lockName are the files' names in the folder that lasts.
	socketName, lockName = "handover", "lock"
	// mostFrame bytes go in one packet, far less than what a Unix socket's buffer takes.
	mostFrame = 64 << 10
	// mostFiles descriptors go with one packet: so many more than one relay's the two processes hold at most.
	mostFiles = 16
	// mostPath is the longest path of a Unix socket's address.
	mostPath = 100
)

// The kinds of packet, its first byte.
const (
	packHello = 'h' // {"version":1}
	packState = 's' // a part of the state
	packOffer = 'o' // that was all of it
	packReady = 'r'
	packYours = 'y' // with the lock
	packConns = 'c' // a part of a batch's items
	packBatch = 'b' // that was all of it, with the descriptors
	packAcked = 'a'
	packDone  = 'd'
)

// packet is one as it came.
type packet struct {
	kind  byte
	body  []byte
	files []*os.File
}

// link is a connection between the two processes. Packets keep their bounds (SOCK_SEQPACKET), so that descriptors come
// with the packet that they were sent with.
type link struct{ c *net.UnixConn }

func (l *link) send(kind byte, body []byte, fds ...int) error {
	var rights []byte
	if len(fds) > 0 {
		rights = unix.UnixRights(fds...)
	}
	_, _, err := l.c.WriteMsgUnix(append([]byte{kind}, body...), rights, nil)
	if err != nil {
		return fmt.Errorf("handover: send %q: %w", kind, err)
	}
	return nil
}

// sendLong sends a body in parts, and then the packet that ends it.
func (l *link) sendLong(part, end byte, body []byte, fds ...int) error {
	for len(body) > 0 {
		n := min(len(body), mostFrame)
		if err := l.send(part, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return l.send(end, nil, fds...)
}

// receive waits for the next packet until a time; the zero time waits for good.
func (l *link) receive(until time.Time) (p packet, err error) {
	if err := l.c.SetReadDeadline(until); err != nil {
		return p, err
	}
	body := make([]byte, mostFrame+1)
	oob := make([]byte, unix.CmsgSpace(4*(mostFiles+1)))
	n, oobn, _, _, err := l.c.ReadMsgUnix(body, oob)
	if err != nil {
		return p, err
	}
	if n == 0 {
		return p, net.ErrClosed
	}
	p.kind, p.body = body[0], body[1:n]
	messages, err := unix.ParseSocketControlMessage(oob[:oobn])
	if err != nil {
		return p, fmt.Errorf("handover: descriptors: %w", err)
	}
	for i := range messages {
		fds, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			return p, fmt.Errorf("handover: descriptors: %w", err)
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
			p.files = append(p.files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return p, nil
}

// receiveLong waits for a body that comes in parts, and for the packet that ends it.
func (l *link) receiveLong(part, end byte, until time.Time) (body []byte, last packet, err error) {
	for {
		p, err := l.receive(until)
		switch {
		case err != nil:
			return nil, p, err
		case p.kind == part:
			body = append(body, p.body...)
		default:
			return body, p, nil
		}
	}
}

// greeting is the body of a hello.
type greeting struct {
	Version int `json:"version"`
}

// hello waits for the other process's hello. One of another version could misread what it is given.
func (l *link) hello() error {
	p, err := l.receive(time.Now().Add(readyTime))
	if err != nil {
		return err
	}
	var g greeting
	if p.kind != packHello || json.Unmarshal(p.body, &g) != nil || g.Version != Version {
		return fmt.Errorf("handover: packet %q, %q: no hello of version %d", p.kind, p.body, Version)
	}
	return nil
}

// untilEnd holds a link until the other side ends it.
func (l *link) untilEnd() {
	for {
		if _, err := l.receive(time.Time{}); err != nil {
			l.close()
			return
		}
	}
}

func (l *link) close() { _ = l.c.Close() }

// address is where a folder's owner listens. A path too long for an address goes by a descriptor of the folder, which the
// caller closes after use.
func address(dir string) (path string, done func(), err error) {
	if path = filepath.Join(dir, socketName); len(path) <= mostPath {
		return path, func() {}, nil
	}
	f, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return "/proc/self/fd/" + strconv.Itoa(int(f.Fd())) + "/" + socketName, func() { _ = f.Close() }, nil
}

// lock is the hold on a folder. It belongs to the open file, not to the process, so that it passes with its descriptor.
type lock struct{ f *os.File }

// errLocked says that another process holds the folder.
var errLocked = errors.New("another process holds the folder")

// takeLock takes a folder, if nobody holds it.
func takeLock(dir string) (*lock, error) {
	path := filepath.Join(dir, lockName)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil { // a lock that is there is taken in a folder that takes no writes as well
		f, err = os.OpenFile(path, os.O_RDONLY, 0)
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, errLocked
		}
		return nil, fmt.Errorf("handover: lock: %w", err)
	}
	return &lock{f}, nil
}

func (l *lock) close() {
	if l != nil {
		_ = l.f.Close()
	}
}

// duplicate gives a connection's socket another descriptor, which the caller closes. Closing the connection then ends
// nothing: the socket lives on.
func duplicate(c syscall.Conn) (fd int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return -1, err
	}
	controlErr := raw.Control(func(old uintptr) { fd, err = unix.FcntlInt(old, unix.F_DUPFD_CLOEXEC, 0) })
	if err := errors.Join(controlErr, err); err != nil {
		return -1, err
	}
	return fd, nil
}

// tcp makes a connection of a descriptor, which is closed.
func tcp(f *os.File) (*net.TCPConn, error) {
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return nil, errors.New("handover: no TCP connection")
	}
	return t, nil
}

// encode gives v as JSON; all that goes over the link can be encoded.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
