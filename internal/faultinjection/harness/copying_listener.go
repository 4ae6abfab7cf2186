package harness

import (
	"net"
	"strings"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// copyingListener is a listener whose connections write a share of the acknowledgements of notifications twice.
type copyingListener struct {
	net.Listener
	extra *extraResponses
}

func (l copyingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net.Listener's contract
	}
	return copyingConn{conn, l.extra}, nil
}

type copyingConn struct {
	net.Conn
	extra *extraResponses
}

// acknowledgementPrefix begins the response to a notification.
const acknowledgementPrefix = "HTTP/1.1 204 "

func (c copyingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil || !strings.HasPrefix(string(b), acknowledgementPrefix) {
		return n, err //nolint:wrapcheck // net.Conn's contract
	}
	if fault, delay := c.extra.draw(scenario.SourcePlatform, ""); fault != nil {
		text := string(b)
		time.AfterFunc(delay, func() {
			if _, err := c.Conn.Write([]byte(text)); err == nil {
				c.extra.count(false, false)
			}
		})
	}
	return n, nil
}
